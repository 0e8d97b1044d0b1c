#include "tallyfold/plane/directory/group_members.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace tallyfold::directory {

using turns::store_map;
using turns::store_member;

namespace {

/// Multiple of the formation wait after which groups are formed even if there are fewer stores than
/// the group size. Leaves time for nodes that start late.
constexpr int small_group_wait_factor = 4;

/// Orders the stores so that consecutive ones are in different zones as far as possible.
store_list interleave_zones(const store_list& stores) {
    std::map<std::string, store_list> by_zone;
    for (const store_member& store : stores) {
        by_zone[store.zone].push_back(store);
    }
    store_list ordered;
    for (std::size_t round = 0; ordered.size() < stores.size(); ++round) {
        for (const auto& [zone, members] : by_zone) {
            if (round < members.size()) {
                ordered.push_back(members[round]);
            }
        }
    }
    return ordered;
}

/// Removes and returns the first candidate whose zone has the fewest members.
store_member take_best_for_zone_spread(store_list& candidates, const store_list& members) {
    const auto in_zone = [&](const store_member& candidate) {
        return std::count_if(members.begin(), members.end(), [&](const store_member& member) {
            return member.zone == candidate.zone;
        });
    };
    const auto best = std::min_element(candidates.begin(), candidates.end(),
                                       [&](const store_member& one, const store_member& other) {
                                           return in_zone(one) < in_zone(other);
                                       });
    store_member taken = *best;
    candidates.erase(best);
    return taken;
}

/// Members whose disks are neither replaced nor retired.
store_list remaining_members(const store_view& view, const store_map& map) {
    store_list members;
    for (const store_member& member : map.current) {
        if (!view.is_retired(member.id) && !view.is_replaced(member)) {
            members.push_back(view.latest(member));
        }
    }
    return members;
}

/// Live stores that may join the group. Those on nodes of current members come first, since a new
/// disk on the same node preserves the spread over zones.
store_list candidates_for(const store_view& view, const store_map& map, const store_list& members) {
    store_list candidates;
    for (const store_member& store : view.live_stores()) {
        const bool is_in_other_group = view.is_in_a_group(store.id) && !map.contains(store.id);
        const bool is_excluded = view.is_retired(store.id) || view.is_replaced(store);
        if (!is_in_other_group && !is_excluded && !has_id(members, store.id)) {
            candidates.push_back(store);
        }
    }
    const auto is_successor = [&](const store_member& candidate) {
        return std::any_of(map.current.begin(), map.current.end(),
                           [&](const store_member& old) { return old.node == candidate.node; });
    };
    std::stable_partition(candidates.begin(), candidates.end(), is_successor);
    return candidates;
}

/// Retired stores that the group may keep until a successor is available: its retired members, and
/// new disks on their nodes.
store_list retained_stores(const store_view& view, const store_map& map) {
    store_list retained;
    for (const store_member& member : map.all()) {
        if (view.is_retired(member.id) && !view.is_replaced(member)) {
            retained.push_back(view.latest(member));
        }
    }
    const auto is_new_disk_of_retired_member = [&](const store_member& store) {
        const store_list members = map.all();
        return view.is_retired(store.id) && !view.is_in_a_group(store.id) &&
               std::any_of(members.begin(), members.end(), [&](const store_member& old) {
                   return old.node == store.node && view.is_retired(old.id);
               });
    };
    for (const store_member& store : view.live_stores()) {
        if (is_new_disk_of_retired_member(store) && !view.is_replaced(store)) {
            retained.push_back(store);
        }
    }
    return retained;
}

/// Adds stores of `available` to the members, and removes them from it, until the group has its
/// size.
void fill_up(const store_view& view, store_list& members, store_list& available) {
    while (members.size() < view.settings().group_size() && !available.empty()) {
        members.push_back(take_best_for_zone_spread(available, members));
    }
}

/// Replaces the members for which `is_missing` is true by stores of `available`, which are removed
/// from it.
template <class Predicate>
void replace_missing(store_list& members, store_list& available, const Predicate& is_missing) {
    for (store_member& member : members) {
        if (is_missing(member) && !available.empty()) {
            member = take_best_for_zone_spread(available, members);
        }
    }
}

/// Removes members while the group exceeds its size: those that are not live first, then those of
/// the zone with the most members.
void drop_surplus(const store_view& view, store_list& members) {
    const auto zone_size = [&](const store_member& member) {
        return std::count_if(members.begin(), members.end(),
                             [&](const store_member& other) { return other.zone == member.zone; });
    };
    while (members.size() > view.settings().group_size()) {
        const auto surplus =
            std::max_element(members.begin(), members.end(),
                             [&](const store_member& one, const store_member& other) {
                                 return std::make_pair(!view.is_live(one.id), zone_size(one)) <
                                        std::make_pair(!view.is_live(other.id), zone_size(other));
                             });
        members.erase(surplus);
    }
}

}  // namespace

store_list choose_members(const store_view& view, const store_map& map) {
    store_list members = remaining_members(view, map);
    store_list candidates = candidates_for(view, map, members);
    fill_up(view, members, candidates);
    // A machine that is gone for good looks like one that restarts. Until a spare has copied, the
    // group tolerates one loss less; if the member returns first, the change is withdrawn.
    replace_missing(members, candidates,
                    [&](const store_member& member) { return !view.is_live(member.id); });
    // Tolerating the losses takes precedence over retiring a store.
    store_list retained = retained_stores(view, map);
    const auto first_silent =
        std::stable_partition(retained.begin(), retained.end(),
                              [&](const store_member& store) { return !view.is_silent(store.id); });
    store_list silent_retained(first_silent, retained.end());
    retained.erase(first_silent, retained.end());
    fill_up(view, members, retained);
    replace_missing(members, retained,
                    [&](const store_member& member) { return view.is_silent(member.id); });
    fill_up(view, members, silent_retained);
    drop_surplus(view, members);
    return members;
}

member_shortage shortage_of(const store_view& view, const store_map& map) {
    const auto needs_successor = [&](const store_member& member) {
        return view.is_silent(member.id) || view.is_retired(member.id);
    };
    if (std::none_of(map.current.begin(), map.current.end(), needs_successor)) {
        return {};
    }
    const store_list members = choose_members(view, map);
    const std::size_t needed = std::min(view.settings().group_size(), map.current.size());
    member_shortage shortage;
    shortage.missing = needed - std::min(needed, members.size());
    for (const store_member& member : members) {
        shortage.silent += view.is_silent(member.id) ? 1 : 0;
        shortage.retired += view.is_retired(member.id) ? 1 : 0;
    }
    return shortage;
}

bool has_too_few_members(const store_view& view, const store_list& members, const store_map& map) {
    return members.size() < std::min(view.settings().group_size(), map.current.size());
}

std::optional<store_map> begin_change(const store_view& view, const store_map& map) {
    if (!view.has_observed_all_stores()) {
        return std::nullopt;
    }
    store_list members = choose_members(view, map);
    if (has_too_few_members(view, members, map) || same_members(members, map.current)) {
        return std::nullopt;
    }
    return with_members(map, map.current, std::move(members));
}

bool has_enough_copies(const store_view& view, const store_map& map) {
    const auto has_copied = [&](const store_member& member) {
        return view.has_copied(member, map);
    };
    const auto stays_or_has_copied = [&](const store_member& member) {
        return has_id(map.current, member.id) || has_copied(member);
    };
    const auto complete_copies = std::count_if(map.next.begin(), map.next.end(), has_copied);
    // The change does not wait for an unreachable member that remains: while the change is open,
    // the loss of one more disk blocks the group.
    const std::size_t majority = map.next.size() / 2 + 1;
    const std::size_t needed = map.next.size() - majority + 1;
    return std::all_of(map.next.begin(), map.next.end(), stays_or_has_copied) &&
           static_cast<std::size_t>(complete_copies) >= needed;
}

bool is_needless_change(const store_view& view, const store_map& map) {
    const auto can_stay = [&](const store_member& member) {
        return view.is_live(member.id) && !view.is_retired(member.id) && !view.is_replaced(member);
    };
    // After a loss, an open change also collects what the survivors hold.
    return !map.after_loss && map.absent.empty() &&
           map.current.size() == view.settings().group_size() &&
           std::all_of(map.current.begin(), map.current.end(), can_stay);
}

std::optional<store_map> continue_change(const store_view& view, const store_map& map) {
    if (has_enough_copies(view, map)) {
        return with_members(map, map.next, {});
    }
    // A joining store that has failed would block the change forever, so members are chosen again.
    const auto cannot_copy = [&](const store_member& member) {
        return !view.has_copied(member, map) && !view.is_live(member.id);
    };
    if (!view.has_observed_all_stores()) {
        return std::nullopt;
    }
    if (std::none_of(map.next.begin(), map.next.end(), cannot_copy)) {
        return is_needless_change(view, map)
                   ? std::optional<store_map>(with_members(map, map.current, {}))
                   : std::nullopt;
    }
    store_list members = choose_members(view, map);
    if (has_too_few_members(view, members, map) || same_members(members, map.next)) {
        return std::nullopt;
    }
    store_list current = map.current;
    if (map.recovering()) {
        // All survivors remain required.
        add_missing(current, members);
    }
    return with_members(map, std::move(current), std::move(members));
}

std::optional<change_store_groups> form_groups(const store_view& view) {
    const store_planner_settings& settings = view.settings();
    store_list found = view.live_stores();
    std::erase_if(found, [&](const store_member& store) { return view.is_retired(store.id); });
    const bool enough = found.size() >= settings.group_size() ||
                        view.leading_for() > small_group_wait_factor * settings.formation_wait;
    if (found.empty() || view.leading_for() < settings.formation_wait || !enough) {
        return std::nullopt;
    }
    const store_list ordered = interleave_zones(found);
    change_store_groups change;
    auto position = ordered.begin();
    for (std::size_t number = 0; number < settings.group_count(ordered.size()); ++number) {
        store_map map;
        map.epoch = view.state().stores().epoch + 1 + number;
        map.group = static_cast<turns::group_number>(number);
        while (map.current.size() < settings.group_size() && position != ordered.end()) {
            map.current.push_back(*position++);
        }
        change.maps.push_back(std::move(map));
    }
    return change;
}

}  // namespace tallyfold::directory
