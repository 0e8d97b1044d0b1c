#pragma once
/// @file
/// How one request's time is spent: until when it may wait, connect and be tried. Pure.

#include <optional>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::forwarding {

class time_budget {
  public:
    /// For callers that don't say how long they wait. Chosen, not measured: the route's time-out
    /// bounds it in any case.
    static constexpr duration default_caller_timeout = std::chrono::seconds(30);
    /// A request that reaches a node before it knows routes, back ends and stores waits so long for
    /// them; without the wait it is rejected and comes back a second later. Worth 0.029 of the
    /// score (docs/DECISIONS-UNDER-LOAD.md, row early_wait); 50 ms covers several round trips
    /// between zones.
    static constexpr duration startup_wait = std::chrono::milliseconds(50);
    /// Part of the time left that a call waits for admission, at most; it is sent then all the
    /// same. Chosen, not measured by itself: leaves two thirds to the engine. The wait as a whole
    /// is row bounded_running of the ablation, 0.012.
    static constexpr double admission_share = 0.3;
    /// Part of the time left that one attempt gets while another may follow. Chosen, not measured:
    /// below a half, so that the next attempt has more time than the first.
    static constexpr double attempt_share = 0.4;
    /// Time for a connection. Chosen, not measured: some hundred round trips between zones (3 ms).
    static constexpr duration connect_limit = std::chrono::milliseconds(500);

    /// @param received when the request's last byte was read
    /// @param caller_timeout how long the caller says that it waits
    /// @param route_timeout bound of the route
    time_budget(instant received, std::optional<duration> caller_timeout, duration route_timeout);

    [[nodiscard]] instant deadline() const { return deadline_; }
    /// Until the deadline; negative after it.
    [[nodiscard]] duration left(instant now) const { return deadline_ - now; }
    /// How long the call may wait for admission from `now` on.
    [[nodiscard]] duration admission_wait(instant now) const;
    [[nodiscard]] instant connect_deadline(instant now) const;
    /// Until when an attempt that begins now may take.
    /// @param another_may_follow time is to be left for a further attempt after this one
    [[nodiscard]] instant attempt_deadline(instant now, bool another_may_follow) const;

  private:
    instant deadline_;
};

}  // namespace tallyfold::forwarding
