#pragma once
/// @file
/// Exponential back-off of resends to stores that have not replied. Pure.
///
/// A message arrives unless its connection is lost, and a reconnect triggers a resend at once.
/// Resends by time are for requests that a store dropped. The interval doubles so that stores that
/// are slow under load do not receive a request many times.

#include <algorithm>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::turns {

class resend_backoff {
  public:
    /// Well above the usual latency of a begin (3 to 5 ms), so that only dropped requests are sent
    /// again, and a sixth of its time limit (1.5 s).
    static constexpr duration first_interval = std::chrono::milliseconds(250);
    /// Limits the pauses of an operation with a long time limit, such as a settlement (6 s).
    static constexpr duration max_interval = std::chrono::milliseconds(2'000);

    /// Makes a send due at once, after a reconnect or when a store has sent a newer map.
    void resend_now() { resend_now_ = true; }
    /// Time at which the next send is due.
    [[nodiscard]] instant next_send_at() const { return next_; }
    /// Returns true when a send is due, and then starts the next interval.
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
