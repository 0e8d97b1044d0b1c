#pragma once
/// @file
/// What one request may still do after an attempt ended: try again, refuse, or fail. Pure.

#include <cstdint>
#include <optional>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::forwarding {

enum class attempt_end : std::uint8_t {
    /// No byte of the request left for the back end.
    not_sent,
    /// The back end proved that it did not run the request.
    not_run,
    /// Bytes left and no proof came: it may have run.
    may_have_run,
    /// A whole, signed answer; it is the caller's.
    answered,
};

enum class next_step : std::uint8_t {
    retry,
    /// The same back end goes on where its stream broke off, or begins again.
    repeat_there,
    /// The request has not run and never will: the caller may come again.
    refuse,
    /// It may have run: the caller is told nothing about that.
    fail,
};

/// Remembers what a request's attempts have come to.
class retry_policy {
  public:
    /// Attempts without a pause between them, those that did not run included: a request must not
    /// wander for ever.
    static constexpr std::uint32_t max_sends = 4;
    /// First pause before back ends that were full are asked again; each further one is twice as
    /// long.
    static constexpr duration first_pause = std::chrono::milliseconds(15);
    static constexpr duration longest_pause = std::chrono::milliseconds(120);
    /// Time that a request still needs after a pause, to be worth waiting for.
    static constexpr duration min_time_after_pause = std::chrono::milliseconds(100);

    /// Times that one request is repeated at a back end whose stream broke off.
    static constexpr std::uint32_t max_repeats_there = 2;

    /// @param resumable a stream that may be continued; at the back end that it broke off at, this
    /// isn't a run of a further one
    retry_policy(bool repeatable, std::uint32_t max_runs, bool resumable = false)
        : repeatable_(repeatable), resumable_(resumable), max_runs_(max_runs) {}

    /// Notes how an attempt ended. @param time_left until the request's deadline
    /// @param broke_off the connection ended, so that the back end no longer works on it
    next_step after(attempt_end end, duration time_left, bool broke_off = false);
    /// Every back end has proved that it was full, or could not be reached: how long to wait before
    /// they are asked again. Nothing when none was asked, when the request may have run, or when it
    /// has too little time left.
    /// @param jitter 0 to 1; spreads the requests that were turned away together
    std::optional<duration> pause_for_room(duration time_left, double jitter);
    /// True when a further attempt could still follow one that fails.
    [[nodiscard]] bool may_retry_run() const { return repeatable_ && runs_ + 1 < max_runs_; }
    [[nodiscard]] bool repeatable() const { return repeatable_; }
    [[nodiscard]] std::uint32_t sends() const { return sends_; }
    /// Attempts that may have run, those included that were repeated where they broke off.
    [[nodiscard]] std::uint32_t runs() const { return runs_ + repeats_there_; }

  private:
    [[nodiscard]] next_step give_up() const {
        return runs() == 0 ? next_step::refuse : next_step::fail;
    }

    bool repeatable_;
    bool resumable_;
    std::uint32_t max_runs_;
    std::uint32_t repeats_there_ = 0;
    std::uint32_t sends_ = 0;
    std::uint32_t runs_ = 0;
    std::uint32_t sends_since_pause_ = 0;
    std::uint32_t pauses_ = 0;
};

}  // namespace tallyfold::forwarding
