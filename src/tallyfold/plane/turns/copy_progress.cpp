#include "tallyfold/plane/turns/copy_progress.hpp"

#include <algorithm>

namespace tallyfold::turns {

copy_progress::copy_progress(store_map map, store_id self) : map_(std::move(map)), self_(self) {
    mark_complete(self_);
}

void copy_progress::mark_complete(store_id source) {
    const bool current =
        std::any_of(map_.current.begin(), map_.current.end(),
                    [source](const store_member& member) { return member.id == source; });
    if (current) {
        completed_sources_.insert(source);
    }
}

bool copy_progress::required() const {
    return std::any_of(map_.next.begin(), map_.next.end(),
                       [this](const store_member& member) { return member.id == self_; });
}

std::vector<store_member> copy_progress::remaining_sources() const {
    std::vector<store_member> remaining;
    for (const store_member& member : map_.current) {
        if (!completed_sources_.contains(member.id)) {
            remaining.push_back(member);
        }
    }
    return remaining;
}

bool copy_progress::complete() const {
    return completed_sources_.size() >= map_.required_copy_count();
}

}  // namespace tallyfold::turns
