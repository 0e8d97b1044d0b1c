#include "tallyfold/plane/directory/store_planner.hpp"

#include <algorithm>

#include "tallyfold/plane/directory/group_members.hpp"
#include "tallyfold/plane/directory/group_recovery.hpp"

namespace tallyfold::directory {

using turns::store_id;
using turns::store_map;
using turns::store_member;

void store_planner::start(instant now) {
    heartbeats_.start(now);
    incomplete_since_.clear();
}

void store_planner::update_incomplete_groups(const directory_state& state, duration retention,
                                             instant now) {
    settings_.retention = retention;
    std::map<turns::map_epoch, instant> since;
    for (const store_map& map : state.stores().groups) {
        if (map.after_loss && !map.changing()) {
            const auto known = incomplete_since_.find(map.epoch);
            since[map.epoch] = known == incomplete_since_.end() ? now : known->second;
        }
    }
    incomplete_since_ = std::move(since);
}

bool store_planner::lost_turns_have_expired(const store_map& map, instant now) const {
    const auto since = incomplete_since_.find(map.epoch);
    return since != incomplete_since_.end() && now - since->second > settings_.retention;
}

std::optional<store_map> store_planner::plan_group(const store_view& view, const store_map& map,
                                                   instant now) const {
    // Losses can be detected only once all live stores have had time to report.
    if (view.has_observed_all_stores() && needs_recovery(view, map)) {
        return recovery_allowed_ ? recover_from_survivors(view, map) : std::nullopt;
    }
    if (map.changing()) {
        return continue_change(view, map);
    }
    if (std::optional<store_map> next = readmit_absent(view, map)) {
        return next;
    }
    if (std::optional<store_map> next = begin_change(view, map)) {
        return next;
    }
    if (lost_turns_have_expired(map, now)) {
        // The same members, without after_loss and without the absent ones.
        return store_map{0, map.current, {}, map.group};
    }
    return std::nullopt;
}

bool store_planner::any_group_needs_recovery(const directory_state& state, instant now) const {
    const store_view view(settings_, heartbeats_, state, now);
    const auto& groups = state.stores().groups;
    return view.has_observed_all_stores() &&
           std::any_of(groups.begin(), groups.end(),
                       [&](const store_map& map) { return needs_recovery(view, map); });
}

std::optional<change_store_groups> store_planner::plan(const directory_state& state,
                                                       instant now) const {
    const store_view view(settings_, heartbeats_, state, now);
    if (state.stores().groups.empty()) {
        return form_groups(view);
    }
    // Only one group at a time may choose new members; otherwise two could choose the same store.
    // Changes that complete are not limited.
    change_store_groups change;
    bool has_membership_change = false;
    for (const store_map& map : state.stores().groups) {
        std::optional<store_map> next = plan_group(view, map, now);
        const bool completes = next.has_value() && !next->changing();
        if (!next.has_value() || (!completes && has_membership_change)) {
            continue;
        }
        has_membership_change = has_membership_change || !completes;
        next->epoch = state.stores().epoch + 1 + change.maps.size();
        change.maps.push_back(std::move(*next));
    }
    if (change.maps.empty()) {
        return std::nullopt;
    }
    return change;
}

std::optional<retire_store> store_planner::plan_retirement(const directory_state& state,
                                                           instant now) const {
    return extend_running_retirement(store_view(settings_, heartbeats_, state, now));
}

unrepaired_groups store_planner::find_unrepaired_groups(const directory_state& state,
                                                        instant now) const {
    const store_view view(settings_, heartbeats_, state, now);
    unrepaired_groups found;
    if (!view.has_observed_all_stores()) {
        return found;
    }
    for (const store_map& map : state.stores().groups) {
        const member_shortage shortage = shortage_of(view, map);
        if (shortage.any() && ++found.count == 1) {
            found.first = turns::describe(map) + " missing=" + std::to_string(shortage.missing) +
                          " silent=" + std::to_string(shortage.silent) +
                          " retired=" + std::to_string(shortage.retired);
        }
    }
    return found;
}

std::vector<std::string> store_planner::describe_open_changes(const directory_state& state,
                                                              instant now) const {
    const store_view view(settings_, heartbeats_, state, now);
    const auto count = [](const store_list& members, const auto& matches) {
        return std::to_string(std::count_if(members.begin(), members.end(), matches));
    };
    const auto is_lost = [&](const store_member& member) { return view.is_lost(member); };
    std::vector<std::string> lines;
    for (const store_map& map : state.stores().groups) {
        if (!map.changing()) {
            continue;
        }
        const auto is_uncopied = [&](const store_member& member) {
            return !view.has_copied(member, map);
        };
        const auto is_uncopied_and_silent = [&](const store_member& member) {
            return is_uncopied(member) && !view.is_live(member.id);
        };
        lines.push_back(turns::describe(map) + " uncopied=" + count(map.next, is_uncopied) +
                        " silent=" + count(map.next, is_uncopied_and_silent) +
                        " lost=" + count(map.current, is_lost));
    }
    return lines;
}

retirement_assessment store_planner::assess_retirement(const directory_state& state,
                                                       const node_name& node,
                                                       const std::set<node_name>& pending,
                                                       instant now) const {
    return directory::assess_retirement(store_view(settings_, heartbeats_, state, now), node,
                                        pending);
}

std::vector<store_id> store_planner::disks_of(const directory_state& state, const node_name& node,
                                              instant now) const {
    return directory::disks_of(store_view(settings_, heartbeats_, state, now), node);
}

}  // namespace tallyfold::directory
