#pragma once
/// @file
/// What one request may still do after an attempt at a back end ended: be sent again, be resumed,
/// wait and be sent again, or nothing. Pure.
///
/// Rests on proofs: only an attempt of which no byte left, or whose back end proved that it ran
/// nothing, counts as not run. All others may have run, and a request that must run at most once is
/// never sent again after one.

#include <cstdint>
#include <optional>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::forwarding {

/// What an attempt's end proves of the request. The log tells the values as numbers.
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

/// How much of an answer the caller has.
enum class answer_progress : std::uint8_t {
    none,
    /// A part, which no other answer can follow.
    started,
    /// A part in whole events, which another answer of the route can follow.
    started_resumable,
};

/// An attempt that failed.
struct failed_attempt {
    attempt_end end = attempt_end::not_sent;
    /// The connection was closed, so the back end no longer works on the request.
    bool broke_off = false;
    answer_progress answer = answer_progress::none;
    /// Until the request's deadline.
    duration time_left{};
};

enum class next_step : std::uint8_t {
    /// Send it to a further back end.
    retry,
    /// Send it to the same back end, which goes on where its stream broke off, or begins again.
    resume,
    /// Tell the caller; may_have_run() says what may be told.
    give_up,
};

/// Remembers what a request's attempts have come to.
class retry_policy {
  public:
    /// Attempts without a pause between them, those that did not run included. Chosen, not
    /// measured: bounds what one request costs the back ends of a service that rejects everything.
    static constexpr std::uint32_t max_sends_per_round = 4;
    /// First pause before back ends that were full are asked again; each further one is twice as
    /// long, up to max_back_off. Chosen, not measured by themselves: from half an event of an idle
    /// engine (25 ms) to five of them. Asking again at all raised the score of
    /// three seeds from 0.699 to 0.739, and was worth 0.003, within the noise, once calls waited
    /// for admission (docs/DECISIONS-UNDER-LOAD.md, "What was tried" and row asking_again).
    static constexpr duration first_back_off = std::chrono::milliseconds(15);
    static constexpr duration max_back_off = std::chrono::milliseconds(120);
    /// Time that a request still needs after a pause, to be worth waiting for. Chosen, not
    /// measured: five times min_attempt_time.
    static constexpr duration min_time_after_back_off = std::chrono::milliseconds(100);
    /// With less time than this no back end can answer. Chosen, not measured: a round trip between
    /// zones (3 ms) and some work.
    static constexpr duration min_attempt_time = std::chrono::milliseconds(20);
    /// Times that one request is resumed at a back end whose stream broke off. Chosen, not
    /// measured; resuming at all is worth 0.008, within the noise (row continuation).
    static constexpr std::uint32_t max_resumes = 2;

    /// @param repeatable it may run more than once
    /// @param max_runs back ends that may run it, at least 1
    /// @param resumable its stream may be resumed; at the back end that it broke off at, this isn't
    /// a run of a further one
    retry_policy(bool repeatable, std::uint32_t max_runs, bool resumable = false)
        : repeatable_(repeatable), resumable_(resumable), max_runs_(max_runs) {}

    /// Notes a failed attempt and decides what follows.
    next_step after(const failed_attempt& failed);
    /// Every back end has proved that it was full, or could not be reached: how long to wait before
    /// they are asked again. Nothing when none was asked, when the request may have run, or when it
    /// has too little time left.
    /// @param jitter 0 to 1; spreads the requests that were rejected together
    std::optional<duration> back_off(duration time_left, double jitter);
    /// True when a further attempt could still follow one that may have run.
    [[nodiscard]] bool may_retry_run() const { return repeatable_ && runs_ + 1 < max_runs_; }
    [[nodiscard]] bool repeatable() const { return repeatable_; }
    /// True when any attempt may have run, also one that was resumed.
    [[nodiscard]] bool may_have_run() const { return runs_ + resumes_ > 0; }

  private:
    /// What the attempts so far allow, whatever the caller has of an answer.
    next_step allowed_step(const failed_attempt& failed);

    bool repeatable_;
    bool resumable_;
    std::uint32_t max_runs_;
    std::uint32_t resumes_ = 0;
    std::uint32_t sends_ = 0;
    std::uint32_t runs_ = 0;
    std::uint32_t sends_since_back_off_ = 0;
    std::uint32_t back_offs_ = 0;
};

}  // namespace tallyfold::forwarding
