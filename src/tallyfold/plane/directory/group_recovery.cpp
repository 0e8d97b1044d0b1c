#include "tallyfold/plane/directory/group_recovery.hpp"

#include <set>

#include "tallyfold/plane/directory/group_members.hpp"

namespace tallyfold::directory {

using turns::store_id;
using turns::store_map;
using turns::store_member;

namespace {

/// Current, next and absent members of the group.
store_list all_known_members(const store_map& map) {
    store_list known = map.all();
    known.insert(known.end(), map.absent.begin(), map.absent.end());
    return known;
}

/// The group's map with the surviving disks as members and those given up as absent. Empty while a
/// member that is not given up is unreachable.
std::optional<store_map> map_of_survivors(const store_view& view, const store_map& map) {
    store_map survivors;
    survivors.group = map.group;
    survivors.after_loss = true;
    for (const store_member& member : all_known_members(map)) {
        if (view.is_lost(member)) {
            continue;
        }
        if (is_given_up(view, map, member)) {
            survivors.absent.push_back(member);
        } else if (view.is_live(member.id)) {
            survivors.current.push_back(member);
        } else {
            return std::nullopt;
        }
    }
    return survivors;
}

}  // namespace

bool is_given_up(const store_view& view, const store_map& map, const store_member& member) {
    const bool is_left_out = map.changing() && !has_id(map.next, member.id);
    const bool is_still_absent = has_id(map.absent, member.id) && !view.is_live(member.id);
    return (is_left_out && view.is_silent(member.id)) ||
           view.is_silent_beyond_retention(member.id) || is_still_absent;
}

bool needs_recovery(const store_view& view, const store_map& map) {
    std::set<store_id> may_answer;
    std::set<store_id> unreachable;
    bool any_lost = false;
    for (const store_member& member : map.current) {
        if (view.is_lost(member)) {
            any_lost = true;
            continue;
        }
        if (!view.is_live(member.id)) {
            unreachable.insert(member.id);
        }
        if (!is_given_up(view, map, member)) {
            may_answer.insert(member.id);
        }
    }
    return any_lost && !map.has_current_quorum(may_answer) && !map.has_current_quorum(unreachable);
}

std::optional<store_map> recover_from_survivors(const store_view& view, const store_map& map) {
    std::optional<store_map> survivors = map_of_survivors(view, map);
    if (!survivors.has_value()) {
        return std::nullopt;
    }
    store_list members = choose_members(view, *survivors);
    if (has_too_few_members(view, members, map)) {
        return std::nullopt;
    }
    // A new disk that is not in the map yet may have been written to under the address of its
    // predecessor, and may hold the only copy of a turn.
    add_missing(survivors->current, members);
    survivors->next = std::move(members);
    return survivors;
}

std::optional<store_map> readmit_absent(const store_view& view, const store_map& map) {
    store_map readmitted = with_members(map, map.current, map.current);
    readmitted.absent.clear();
    for (const store_member& member : map.absent) {
        (view.is_live(member.id) ? readmitted.current : readmitted.absent).push_back(member);
    }
    if (readmitted.current.size() == map.current.size()) {
        return std::nullopt;
    }
    return readmitted;
}

}  // namespace tallyfold::directory
