#include "tallyfold/plane/poison/crash_history.hpp"

#include <algorithm>

namespace tallyfold::poison {

namespace {

/// Reports of one end differ by delays of messages, and by the time limits of attempts that met
/// silence. Each start of a back end has a name of its own, so ends of one name seldom differ.
constexpr duration same_end_window = std::chrono::seconds(3);

bool is_same_end(const crash& left, const crash& right) {
    return left.backend == right.backend && left.ended < right.ended + same_end_window &&
           right.ended < left.ended + same_end_window;
}

/// True when the request of `later` may repeat that of `earlier`.
bool follows(const crash& later, const crash& earlier) {
    return later.sent >= earlier.ended && later.sent - earlier.ended <= crash_history::max_gap;
}

bool ended_earlier(const crash& left, const crash& right) {
    return left.ended < right.ended;
}

}  // namespace

bool crash_history::add(const crash& added) {
    crash merged = added;
    const auto known = std::find_if(crashes_.begin(), crashes_.end(),
                                    [&](const crash& each) { return is_same_end(each, added); });
    const bool is_new = known == crashes_.end();
    if (!is_new) {
        // Nodes convert times with different delays; the shortest interval is the most exact.
        merged.sent = std::max(known->sent, added.sent);
        merged.ended = std::min(known->ended, added.ended);
        crashes_.erase(known);
    }
    crashes_.insert(std::upper_bound(crashes_.begin(), crashes_.end(), merged, ended_earlier),
                    merged);
    if (crashes_.size() > max_kept) {
        crashes_ = series();
    }
    if (crashes_.size() > max_kept) {
        crashes_.erase(crashes_.begin());
    }
    return is_new;
}

std::vector<crash> crash_history::series() const {
    /// The longest series that ends with the crash of the same index.
    std::vector<std::vector<crash>> ending_with;
    std::vector<crash> longest;
    for (const crash& each : crashes_) {
        std::vector<crash> best;
        for (const std::vector<crash>& earlier : ending_with) {
            if (follows(each, earlier.back()) && earlier.size() >= best.size()) {
                best = earlier;
            }
        }
        best.push_back(each);
        if (best.size() >= longest.size()) {
            longest = best;
        }
        ending_with.push_back(std::move(best));
    }
    return longest;
}

}  // namespace tallyfold::poison
