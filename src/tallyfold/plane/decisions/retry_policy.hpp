#pragma once
/// @file
/// Decides what follows a failed attempt at a back end: a retry, a resume, a back-off or the end of
/// the request. No I/O; each request owns one policy.
///
/// An attempt counts as not run only if no byte of the request was sent or the back end proved that
/// it did not run the request. Any other attempt may have run, and after one of these a request
/// that must run at most once is never retried.

#include <cstdint>
#include <optional>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::forwarding {

/// Evidence from the end of an attempt about execution. The log contains the numeric values.
enum class attempt_end : std::uint8_t {
    /// No byte of the request was sent to the back end.
    not_sent,
    /// The back end proved that it did not run the request.
    not_run,
    /// Bytes were sent and there is no proof: the request may have run.
    may_have_run,
    /// A complete, signed answer, which is relayed to the caller.
    answered,
};

/// How much of an answer was sent to the caller.
enum class answer_progress : std::uint8_t {
    none,
    /// A part that no other answer can continue.
    started,
    /// A part that ends at an event boundary, which another answer of the route can continue.
    started_resumable,
};

struct failed_attempt {
    attempt_end end = attempt_end::not_sent;
    /// The connection was closed, so the back end has stopped working on the request.
    bool connection_closed = false;
    answer_progress answer = answer_progress::none;
    /// Time until the deadline of the request.
    duration time_left{};
};

enum class next_step : std::uint8_t {
    /// Send the request to another back end.
    retry,
    /// Send the request to the same back end, which continues the stream where it broke off or
    /// restarts it.
    resume,
    /// Answer the caller.
    give_up,
};

/// Tracks the attempts of one request.
class retry_policy {
  public:
    /// Maximum number of attempts between two back-offs, including those that did not run. Bounds
    /// the load that one request causes in a service that rejects every call.
    static constexpr std::uint32_t max_sends_per_round = 4;
    /// First back-off before full back ends are retried. Each further one doubles, up to
    /// max_back_off. The range is about half an event interval of an idle engine to five of them.
    static constexpr duration first_back_off = std::chrono::milliseconds(15);
    static constexpr duration max_back_off = std::chrono::milliseconds(120);
    /// Least time left after a back-off; with less, the request ends without waiting.
    static constexpr duration min_time_after_back_off = std::chrono::milliseconds(100);
    /// Least time left for an attempt: a round trip between zones and some work.
    static constexpr duration min_attempt_time = std::chrono::milliseconds(20);
    /// Maximum number of resumes of one request after its stream broke off.
    static constexpr std::uint32_t max_resumes = 2;

    /// @param repeatable the request may run more than once
    /// @param max_runs number of back ends that may run it, at least 1
    /// @param resumable its stream may be resumed; a resume at the same back end is not a further
    ///   run
    retry_policy(bool repeatable, std::uint32_t max_runs, bool resumable = false)
        : repeatable_(repeatable), resumable_(resumable), max_runs_(max_runs) {}

    /// Records a failed attempt and returns the next step.
    next_step after(const failed_attempt& failed);
    /// Length of the back-off before back ends are retried that were all full or unreachable.
    /// Nothing if none was tried, if the request may have run, or if too little time is left.
    /// @param jitter 0 to 1; spreads requests that were rejected together
    std::optional<duration> back_off(duration time_left, double jitter);
    /// True if a retry is allowed after an attempt that may have run.
    [[nodiscard]] bool may_retry_run() const { return repeatable_ && runs_ + 1 < max_runs_; }
    [[nodiscard]] bool repeatable() const { return repeatable_; }
    /// Number of failed attempts that may have run, including resumed ones. It lacks an attempt
    /// that has not been recorded yet, so execution_record alone tells whether the request ran.
    [[nodiscard]] std::uint32_t counted_runs() const { return runs_ + resumes_; }

  private:
    /// Step that the attempts so far allow, regardless of the answer that was sent to the caller.
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
