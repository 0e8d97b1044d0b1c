#pragma once
/// @file
/// When a source of a copy counts as stalled, so that the next one is asked. Pure.
///
/// Making a page costs its source the same whether the page is still wanted when it comes or not. A
/// fixed patience that loaded sources can't keep sends a joining store from one to the next, each
/// of which works in vain; so the patience doubles with each stall, and follows what pages took.

#include <algorithm>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::turns {

class copy_timeout {
  public:
    static constexpr duration min_timeout = std::chrono::milliseconds(300);
    static constexpr duration max_timeout = std::chrono::milliseconds(2'400);

    /// A source was asked for a page.
    void asked(instant now) { requested_at_ = now; }
    /// The asked source's page has come.
    void page_received(instant now) {
        timeout_ = std::clamp((now - requested_at_) * 2, min_timeout, max_timeout);
    }
    /// True when the asked source has had its time; from then on it has more.
    bool stalled(instant now) {
        if (now - requested_at_ < timeout_) {
            return false;
        }
        timeout_ = std::min(timeout_ * 2, max_timeout);
        return true;
    }

  private:
    instant requested_at_{};
    duration timeout_ = min_timeout;
};

}  // namespace tallyfold::turns
