#include "tallyfold/plane/poison/crash_table.hpp"

#include <algorithm>
#include <vector>

namespace tallyfold::poison {

crash_table::position crash_table::position_of(content_key content, const crash_history& crashes) {
    return {std::min(crashes.consecutive(), max_crashes), crashes.last(), content};
}

void crash_table::remove(content_key content) {
    const auto found = contents_.find(content);
    order_.erase(position_of(content, found->second));
    contents_.erase(found);
}

bool crash_table::record(content_key content, const crash& added, instant now) {
    if (now - added.ended > lifetime) {
        return false;
    }
    if (find(content, now) == nullptr) {
        release(content);
    }
    crash_history& crashes = contents_[content];
    if (!crashes.all().empty()) {
        order_.erase(position_of(content, crashes));
    }
    const bool is_new = crashes.add(added);
    order_.insert(position_of(content, crashes));
    if (contents_.size() > max_contents) {
        remove(order_.begin()->content);
    }
    return is_new;
}

bool crash_table::release(content_key content) {
    if (!contents_.contains(content)) {
        return false;
    }
    remove(content);
    return true;
}

const crash_history* crash_table::find(content_key content, instant now) const {
    const auto found = contents_.find(content);
    const bool known = found != contents_.end() && now - found->second.last() <= lifetime;
    return known ? &found->second : nullptr;
}

std::size_t crash_table::consecutive(content_key content, instant now) const {
    const crash_history* crashes = find(content, now);
    return crashes == nullptr ? 0 : crashes->consecutive();
}

void crash_table::expire(instant now) {
    std::vector<content_key> expired;
    for (const auto& [content, crashes] : contents_) {
        if (now - crashes.last() > lifetime) {
            expired.push_back(content);
        }
    }
    for (const content_key content : expired) {
        remove(content);
    }
}

}  // namespace tallyfold::poison
