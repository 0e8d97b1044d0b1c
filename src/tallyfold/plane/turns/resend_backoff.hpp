#pragma once
/// @file
/// When a request is sent again to stores that haven't answered: exponential back-off. Pure.
///
/// What was sent over a connection arrives unless the connection is lost, and a lost connection
/// leads to a resend at once. A resend by time alone is for stores that dropped a request. Each
/// doubles the interval: with a fixed one, stores that were slow under load got every request
/// several times (docs/incidents/2026-12-02-stores-saturated-by-a-copy.md).

#include <algorithm>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::turns {

class resend_backoff {
  public:
    /// Chosen, not measured: well above the 3 to 5 ms that a begin takes at the median, so that
    /// only dropped requests are sent again, and a sixth of the 1.5 s that a begin may take.
    static constexpr duration first_interval = std::chrono::milliseconds(250);
    /// Chosen, not measured: keeps a settlement that takes 6 s from resting for longer than 2 s.
    static constexpr duration max_interval = std::chrono::milliseconds(2'000);

    /// A store has come back or has sent a newer map: the next send is due at once.
    void resend_now() { resend_now_ = true; }
    /// When the next send is due.
    [[nodiscard]] instant next_send_at() const { return next_; }
    /// True when the request is to be sent now; then the next interval begins.
    bool take_due(instant now) {
        if (!resend_now_ && now < next_) {
            return false;
        }
        resend_now_ = false;
        next_ = now + interval_;
        interval_ = std::min(interval_ * 2, max_interval);
        return true;
    }

  private:
    bool resend_now_ = false;
    instant next_{};
    duration interval_ = first_interval;
};

}  // namespace tallyfold::turns
