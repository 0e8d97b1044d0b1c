#pragma once
/// @file
/// Timeout of a page request, after which the next source is asked. Pure.
///
/// A page costs its source the same work whether it arrives in time or not. With a timeout that is
/// too short for loaded sources, every source builds pages that are discarded. The timeout
/// therefore doubles each time it expires, and otherwise follows the time that the last page took.

#include <algorithm>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::turns {

class copy_timeout {
  public:
    /// Initial and shortest timeout; the longest delay of a copy by a failed source.
    static constexpr duration min_timeout = std::chrono::milliseconds(300);
    /// Three doublings of the minimum. A begin at saturated stores takes up to 0.69 s at the
    /// median.
    static constexpr duration max_timeout = std::chrono::milliseconds(2'400);

    /// Records that a page was requested.
    void page_requested(instant now) { requested_at_ = now; }
    /// Records that the page was received. The next timeout is twice the time that it took.
    void page_received(instant now) {
        timeout_ = std::clamp((now - requested_at_) * 2, min_timeout, max_timeout);
    }
    /// Returns true when the page is overdue, and doubles the timeout of the next request.
    bool expired(instant now) {
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
