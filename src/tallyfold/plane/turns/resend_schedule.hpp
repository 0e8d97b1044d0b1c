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

class resend_schedule {
  public:
    static constexpr duration first_interval = std::chrono::milliseconds(250);
    static constexpr duration longest_interval = std::chrono::milliseconds(2'000);

    /// A store has come back or told a newer map: the next ask is due at once.
    void ask_at_once() { at_once_ = true; }
    /// When the next ask is due.
    [[nodiscard]] instant next() const { return next_; }
    /// True when the stores are to be asked now.
    bool takes_turn(instant now) {
        if (!at_once_ && now < next_) {
            return false;
        }
        at_once_ = false;
        next_ = now + interval_;
        interval_ = std::min(interval_ * 2, longest_interval);
        return true;
    }

  private:
    bool at_once_ = false;
    instant next_{};
    duration interval_ = first_interval;
};

}  // namespace tallyfold::turns
