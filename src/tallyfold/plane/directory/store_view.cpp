#include "tallyfold/plane/directory/store_view.hpp"

#include <algorithm>

namespace tallyfold::directory {

using turns::store_id;
using turns::store_map;
using turns::store_member;

bool has_id(const store_list& members, store_id id) {
    return std::any_of(members.begin(), members.end(),
                       [id](const store_member& member) { return member.id == id; });
}

void add_missing(store_list& members, const store_list& added) {
    for (const store_member& member : added) {
        if (!has_id(members, member.id)) {
            members.push_back(member);
        }
    }
}

bool same_members(store_list left, store_list right) {
    const auto by_id = [](const store_member& one, const store_member& other) {
        return one.id < other.id;
    };
    std::sort(left.begin(), left.end(), by_id);
    std::sort(right.begin(), right.end(), by_id);
    return left == right;
}

store_map with_members(const store_map& map, store_list current, store_list next) {
    store_map changed = map;
    changed.epoch = 0;
    changed.current = std::move(current);
    changed.next = std::move(next);
    return changed;
}

bool store_view::is_live(store_id id) const {
    return heartbeats_.reported_within(id, settings_.live_timeout, now_);
}

duration store_view::age_of_report(store_id id) const {
    return heartbeats_.silent_for(id, now_);
}

bool store_view::is_silent(store_id id) const {
    return age_of_report(id) > settings_.silence_timeout;
}

bool store_view::is_silent_beyond_retention(store_id id) const {
    return age_of_report(id) > settings_.retention;
}

bool store_view::is_replaced(const store_member& member) const {
    return heartbeats_.is_replaced(member, settings_.live_timeout, now_);
}

bool store_view::is_retired(store_id id) const {
    return state_.retired().contains(id);
}

bool store_view::is_in_a_group(store_id id) const {
    return state_.stores().contains(id);
}

bool store_view::has_copied(const store_member& member, const store_map& map) const {
    return heartbeats_.copied_epoch(member.id) == map.epoch;
}

bool store_view::is_lost(const store_member& member) const {
    return is_replaced(member) || (is_retired(member.id) && is_silent_beyond_retention(member.id));
}

store_list store_view::live_stores() const {
    store_list live;
    for (const auto& [id, heartbeat] : heartbeats_.all()) {
        if (is_live(id)) {
            live.push_back(heartbeat.report.member);
        }
    }
    return live;
}

store_list store_view::known_stores() const {
    store_list known = state_.stores().all();
    for (const auto& [id, heartbeat] : heartbeats_.all()) {
        known.push_back(heartbeat.report.member);
    }
    return known;
}

}  // namespace tallyfold::directory
