#pragma once
/// @file
/// When a source that was asked for a page of a copy has timed out, so that the next one is asked.
/// Pure.
///
/// Making a page costs its source the same whether the page is still wanted or not. With a fixed
/// timeout of 300 ms that loaded sources couldn't keep, joining stores went from one source to the
/// next, and five sources made pages that nobody used
/// (docs/incidents/2026-12-02-stores-saturated-by-a-copy.md). So the timeout doubles each time it
/// expires, and follows the time that pages took.

#include <algorithm>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::turns {

class copy_timeout {
  public:
    /// Chosen, not measured: a dead source delays a copy by no more than this.
    static constexpr duration min_timeout = std::chrono::milliseconds(300);
    /// Three doublings of the minimum; begins at saturated stores took up to 0.69 s at the median.
    static constexpr duration max_timeout = std::chrono::milliseconds(2'400);

    /// A source was asked for a page.
    void page_requested(instant now) { requested_at_ = now; }
    /// The page has come: the next one may take twice as long.
    void page_received(instant now) {
        timeout_ = std::clamp((now - requested_at_) * 2, min_timeout, max_timeout);
    }
    /// True when the page is overdue; the next request is given twice the time.
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
