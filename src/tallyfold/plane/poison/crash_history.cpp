#include "tallyfold/plane/poison/crash_history.hpp"

#include <algorithm>

namespace tallyfold::poison {

namespace {

/// Reports of one end differ by the delays of messages and of detection. Shorter than a restart of
/// a back end under its former name.
constexpr duration same_end_window = std::chrono::milliseconds(500);

bool is_same_end(const crash& left, const crash& right) {
    return left.backend == right.backend && left.ended < right.ended + same_end_window &&
           right.ended < left.ended + same_end_window;
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
    // In order of their ends, taking each interval that begins after the last one taken gives the
    // largest number of intervals that don't overlap.
    std::vector<crash> taken;
    for (const crash& each : crashes_) {
        if (taken.empty() || each.sent >= taken.back().ended) {
            taken.push_back(each);
        }
    }
    return taken;
}

}  // namespace tallyfold::poison
