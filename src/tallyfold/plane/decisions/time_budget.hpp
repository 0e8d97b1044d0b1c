#pragma once
/// @file
/// Time budget of a request: its deadline, and the limits of waits, connects and attempts. No I/O.

#include <optional>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::forwarding {

class time_budget {
  public:
    /// Timeout of callers that specify none; the timeout of the route applies as well.
    static constexpr duration default_caller_timeout = std::chrono::seconds(30);
    /// Time that a request waits for routes, back ends and stores at a node that is starting. It
    /// covers several round trips between zones and avoids a rejection and a later retry.
    static constexpr duration startup_wait = std::chrono::milliseconds(50);
    /// Maximum fraction of the time left that a call waits for admission; then it is sent
    /// regardless. Leaves most of the time to the engine.
    static constexpr double admission_share = 0.3;
    /// Fraction of the time left for an attempt that another one may follow. Below one half, so
    /// that the next attempt has more time.
    static constexpr double attempt_share = 0.4;
    /// Maximum time to establish a connection; over a hundred round trips between zones (3 ms).
    static constexpr duration connect_limit = std::chrono::milliseconds(500);

    /// @param received time at which the last byte of the request was read
    /// @param caller_timeout timeout that the caller specified
    /// @param route_timeout timeout of the route
    time_budget(instant received, std::optional<duration> caller_timeout, duration route_timeout);

    [[nodiscard]] instant deadline() const { return deadline_; }
    /// Time until the deadline; negative after it.
    [[nodiscard]] duration left(instant now) const { return deadline_ - now; }
    /// Maximum wait for admission, counted from `now`.
    [[nodiscard]] duration admission_wait(instant now) const;
    [[nodiscard]] instant connect_deadline(instant now) const;
    /// Deadline of an attempt that starts now.
    /// @param another_may_follow whether to leave time for a further attempt
    [[nodiscard]] instant attempt_deadline(instant now, bool another_may_follow) const;

  private:
    instant deadline_;
};

}  // namespace tallyfold::forwarding
