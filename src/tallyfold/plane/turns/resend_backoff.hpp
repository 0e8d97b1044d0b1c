#pragma once
/// @file
/// When stores that haven't answered are asked again. Pure.
///
/// Links are connections, so what was sent arrives unless its connection is lost, and that asks
/// again at once. Asking again on time alone is for stores that dropped a request; each time
/// doubles the interval, since stores that are slow under load would otherwise get every request
/// several times.

#include <algorithm>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::turns {

class resend_backoff {
  public:
    static constexpr duration first_interval = std::chrono::milliseconds(250);
    static constexpr duration max_interval = std::chrono::milliseconds(2'000);

    /// A store has come back or told a newer map: the next ask is due at once.
    void resend_now() { resend_now_ = true; }
    /// When the next ask is due.
    [[nodiscard]] instant next() const { return next_; }
    /// True when the stores are to be asked now.
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
