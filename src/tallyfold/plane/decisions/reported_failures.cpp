#include "tallyfold/plane/decisions/reported_failures.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

bool reported_failures::record(const backend_name& name, instant at) {
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        entries_[name] = {at, at + initial_distrust, 1};
        return true;
    }
    entry& known = found->second;
    if (at < known.last_failure + discovery::same_failure_window) {
        return false;
    }
    known.last_failure = at;
    known.distrusted_until = at + initial_distrust * (1U << known.doublings);
    known.doublings = std::min(known.doublings + 1, max_doublings);
    return true;
}

bool reported_failures::is_distrusted(const backend_name& name, instant now) const {
    const auto found = entries_.find(name);
    return found != entries_.end() && now < found->second.distrusted_until;
}

void reported_failures::expire(instant now) {
    std::erase_if(entries_, [&](const auto& each) {
        return now >
               std::max(each.second.distrusted_until, each.second.last_failure + failure_expiry);
    });
}

}  // namespace tallyfold::forwarding
