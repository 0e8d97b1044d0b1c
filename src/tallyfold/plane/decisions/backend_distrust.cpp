#include "tallyfold/plane/decisions/backend_distrust.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

bool backend_distrust::note(const backend_name& name, instant at) {
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        entries_[name] = {at, at + first_doubt, 1};
        return true;
    }
    entry& known = found->second;
    if (at < known.last + discovery::same_failure_window) {
        return false;
    }
    known.last = at;
    known.until = at + first_doubt * (1U << known.doublings);
    known.doublings = std::min(known.doublings + 1, max_doublings);
    return true;
}

bool backend_distrust::is_distrusted(const backend_name& name, instant now) const {
    const auto found = entries_.find(name);
    return found != entries_.end() && now < found->second.until;
}

void backend_distrust::expire(instant now) {
    std::erase_if(entries_, [&](const auto& each) {
        return now > std::max(each.second.until, each.second.last + forgotten_after);
    });
}

}  // namespace tallyfold::forwarding
