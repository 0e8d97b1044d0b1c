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

class copy_watch {
  public:
    static constexpr duration min_patience = std::chrono::milliseconds(300);
    static constexpr duration max_patience = std::chrono::milliseconds(2'400);

    /// A source was asked for a page.
    void asked(instant now) { asked_ = now; }
    /// The asked source's page has come.
    void page_came(instant now) {
        patience_ = std::clamp((now - asked_) * 2, min_patience, max_patience);
    }
    /// True when the asked source has had its time; from then on it has more.
    bool stalled(instant now) {
        if (now - asked_ < patience_) {
            return false;
        }
        patience_ = std::min(patience_ * 2, max_patience);
        return true;
    }

  private:
    instant asked_{};
    duration patience_ = min_patience;
};

}  // namespace tallyfold::turns
