#include "tallyfold/plane/directory/store_planner.hpp"

#include <algorithm>
#include <string>

namespace tallyfold::directory {

using turns::store_id;
using turns::store_map;
using turns::store_member;

namespace {

bool by_id(const store_member& one, const store_member& other) {
    return one.id < other.id;
}

bool same_members(std::vector<store_member> left, std::vector<store_member> right) {
    std::sort(left.begin(), left.end(), by_id);
    std::sort(right.begin(), right.end(), by_id);
    return left == right;
}

bool has_id(const std::vector<store_member>& members, store_id id) {
    return std::any_of(members.begin(), members.end(),
                       [id](const store_member& member) { return member.id == id; });
}

/// The stores in an order in which as many as there are zones in a row lie in different ones.
std::vector<store_member> dealt_over_zones(const std::vector<store_member>& stores) {
    std::map<std::string, std::vector<store_member>> by_zone;
    for (const store_member& store : stores) {
        by_zone[store.zone].push_back(store);
    }
    std::vector<store_member> dealt;
    for (std::size_t round = 0; dealt.size() < stores.size(); ++round) {
        for (const auto& [zone, members] : by_zone) {
            if (round < members.size()) {
                dealt.push_back(members[round]);
            }
        }
    }
    return dealt;
}

/// The group's map with other members; its epoch is given when the change is planned.
store_map with_members(const store_map& map, std::vector<store_member> current,
                       std::vector<store_member> next) {
    store_map changed = map;
    changed.epoch = 0;
    changed.current = std::move(current);
    changed.next = std::move(next);
    return changed;
}

/// Takes out the candidate whose zone has the fewest of the members.
store_member take_best(std::vector<store_member>& candidates,
                       const std::vector<store_member>& members) {
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

}  // namespace

void store_planner::start(instant now) {
    stores_.start(now);
    doubted_since_.clear();
}

void store_planner::watch_losses(const directory_state& state, duration doubt, instant now) {
    settings_.doubt = doubt;
    std::map<turns::map_epoch, instant> doubted;
    for (const store_map& map : state.stores().groups) {
        if (map.after_loss && !map.changing()) {
            const auto known = doubted_since_.find(map.epoch);
            doubted[map.epoch] = known == doubted_since_.end() ? now : known->second;
        }
    }
    doubted_since_ = std::move(doubted);
}

bool store_planner::live(store_id id, instant now) const {
    return stores_.heard_within(id, settings_.live, now);
}

bool store_planner::silent(store_id id, instant now) const {
    return stores_.silence_of(id, now) > settings_.silence;
}

bool store_planner::replaced(const store_member& member, instant now) const {
    return stores_.replaced(member, settings_.live, now);
}

bool store_planner::has_copied(const store_member& member, const store_map& map) const {
    return stores_.copied_epoch(member.id) == map.epoch;
}

store_planner::member_list store_planner::candidates_for(const directory_state& state,
                                                         const store_map& map, instant now) const {
    member_list candidates;
    for (const auto& [id, entry] : stores_.all()) {
        const store_member& member = entry.report.member;
        const bool elsewhere = state.stores().holds(id) && !map.holds(id);
        const bool gone = state.retired().contains(id) || replaced(member, now);
        if (!elsewhere && !gone && live(id, now)) {
            candidates.push_back(member);
        }
    }
    return candidates;
}

store_planner::member_list store_planner::wanted(const directory_state& state, const store_map& map,
                                                 instant now) const {
    member_list members;
    for (const store_member& member : map.current) {
        if (!state.retired().contains(member.id) && !replaced(member, now)) {
            members.push_back(stores_.newest(member));
        }
    }
    member_list candidates = candidates_for(state, map, now);
    std::erase_if(candidates, [&](const auto& member) { return has_id(members, member.id); });
    // A new disk in an old one's place keeps the zones as they are.
    std::stable_partition(candidates.begin(), candidates.end(), [&](const store_member& candidate) {
        return std::any_of(map.current.begin(), map.current.end(),
                           [&](const store_member& old) { return old.node == candidate.node; });
    });
    while (members.size() < settings_.group_size() && !candidates.empty()) {
        members.push_back(take_best(candidates, members));
    }
    for (store_member& member : members) {
        if (silent(member.id, now) && !candidates.empty()) {
            member = take_best(candidates, members);
        }
    }
    for (auto member = members.begin(); member != members.end();) {
        const bool leaves = members.size() > settings_.group_size() && silent(member->id, now);
        member = leaves ? members.erase(member) : member + 1;
    }
    return members;
}

bool store_planner::shrinks(const member_list& members, const store_map& map) const {
    return members.size() < std::min(settings_.group_size(), map.current.size());
}

std::optional<store_map> store_planner::finish(const directory_state& state, const store_map& map,
                                               instant now) const {
    const auto copied = [&](const store_member& member) { return has_copied(member, map); };
    if (copies_suffice(map)) {
        return with_members(map, map.next, {});
    }
    // A joining store that died would hold the change up for ever: plan again without it.
    const bool stuck =
        has_listened(now) &&
        std::any_of(map.next.begin(), map.next.end(), [&](const store_member& member) {
            return !copied(member) && !live(member.id, now);
        });
    if (!stuck) {
        return std::nullopt;
    }
    member_list members = wanted(state, map, now);
    if (shrinks(members, map) || same_members(members, map.next)) {
        return std::nullopt;
    }
    return with_members(map, map.current, std::move(members));
}

bool store_planner::lost(const directory_state& state, const store_member& member,
                         instant now) const {
    if (replaced(member, now)) {
        return true;
    }
    return state.retired().contains(member.id) &&
           stores_.silence_of(member.id, now) > settings_.doubt;
}

bool store_planner::needs_salvage(const directory_state& state, const store_map& map,
                                  instant now) const {
    std::set<store_id> may_answer;
    std::set<store_id> out_of_reach;
    std::size_t gone = 0;
    for (const store_member& member : map.current) {
        if (lost(state, member, now)) {
            ++gone;
            continue;
        }
        if (!live(member.id, now)) {
            out_of_reach.insert(member.id);
        }
        if (!given_up(map, member, now)) {
            may_answer.insert(member.id);
        }
    }
    return gone > 0 && !map.suffices_of_current(may_answer) &&
           !map.suffices_of_current(out_of_reach);
}

bool store_planner::given_up(const store_map& map, const store_member& member, instant now) const {
    const bool left_out = map.changing() && !has_id(map.next, member.id);
    const bool expired = stores_.silence_of(member.id, now) > settings_.doubt;
    const bool absent = has_id(map.absent, member.id) && !live(member.id, now);
    return (left_out && silent(member.id, now)) || expired || absent;
}

std::optional<store_map> store_planner::salvage(const directory_state& state, const store_map& map,
                                                instant now) const {
    store_map survivors{0, {}, {}, map.group, true};
    member_list known = map.all();
    known.insert(known.end(), map.absent.begin(), map.absent.end());
    for (const store_member& member : known) {
        if (lost(state, member, now)) {
            continue;
        }
        const bool absent = given_up(map, member, now);
        if (!absent && !live(member.id, now)) {
            return std::nullopt;
        }
        (absent ? survivors.absent : survivors.current).push_back(member);
    }
    member_list members = wanted(state, survivors, now);
    if (members.size() < std::min(settings_.group_size(), map.current.size())) {
        return std::nullopt;
    }
    // A new disk that the map doesn't list yet has been written to under its predecessor's address,
    // and may be the last that holds a turn.
    for (const store_member& member : members) {
        if (!has_id(survivors.current, member.id)) {
            survivors.current.push_back(member);
        }
    }
    survivors.next = std::move(members);
    return survivors;
}

std::optional<store_map> store_planner::take_back(const store_map& map, instant now) const {
    store_map joined = with_members(map, map.current, map.current);
    joined.absent.clear();
    for (const store_member& member : map.absent) {
        (live(member.id, now) ? joined.current : joined.absent).push_back(member);
    }
    if (joined.current.size() == map.current.size()) {
        return std::nullopt;
    }
    return joined;
}

std::optional<store_map> store_planner::plan_group(const directory_state& state,
                                                   const store_map& map, instant now) const {
    // What is gone is judged only once this leader has listened for a while.
    if (has_listened(now) && needs_salvage(state, map, now)) {
        return salvage(state, map, now);
    }
    if (map.changing()) {
        return finish(state, map, now);
    }
    std::optional<store_map> next = take_back(map, now);
    if (!next.has_value()) {
        next = revise(state, map, now);
    }
    const auto doubted = doubted_since_.find(map.epoch);
    const bool certain = doubted != doubted_since_.end() && now - doubted->second > settings_.doubt;
    if (!next.has_value() && certain) {
        return store_map{0, map.current, {}, map.group};
    }
    return next;
}

std::optional<store_map> store_planner::revise(const directory_state& state, const store_map& map,
                                               instant now) const {
    // What is silent is judged only once this leader has listened for a while.
    if (!has_listened(now)) {
        return std::nullopt;
    }
    member_list members = wanted(state, map, now);
    if (shrinks(members, map) || same_members(members, map.current)) {
        return std::nullopt;
    }
    return with_members(map, map.current, std::move(members));
}

bool store_planner::copies_suffice(const store_map& map) const {
    const auto holds_enough = [&](const store_member& member) {
        return has_id(map.current, member.id) || has_copied(member, map);
    };
    const auto copied = [&](const store_member& member) { return has_copied(member, map); };
    const auto whole = std::count_if(map.next.begin(), map.next.end(), copied);
    // Each majority of `next` then has a member with a whole copy. A member that stays and is away
    // doesn't hold the change up: while it is open, the loss of one more disk stops the group.
    const std::size_t needed = map.next.size() - (map.next.size() / 2 + 1) + 1;
    return std::all_of(map.next.begin(), map.next.end(), holds_enough) &&
           static_cast<std::size_t>(whole) >= needed;
}

std::optional<change_store_groups> store_planner::form_groups(const directory_state& state,
                                                              instant now) const {
    member_list found;
    for (const auto& [id, entry] : stores_.all()) {
        if (live(id, now)) {
            found.push_back(entry.report.member);
        }
    }
    const bool enough = found.size() >= settings_.group_size() ||
                        now - stores_.started() > 4 * settings_.first_gathering;
    if (found.empty() || now - stores_.started() < settings_.first_gathering || !enough) {
        return std::nullopt;
    }
    const member_list dealt = dealt_over_zones(found);
    change_store_groups change;
    auto position = dealt.begin();
    for (std::size_t number = 0; number < settings_.groups_of(dealt.size()); ++number) {
        store_map map;
        map.epoch = state.stores().epoch + 1 + number;
        map.group = static_cast<turns::group_number>(number);
        while (map.current.size() < settings_.group_size() && position != dealt.end()) {
            map.current.push_back(*position++);
        }
        change.maps.push_back(std::move(map));
    }
    return change;
}

std::optional<change_store_groups> store_planner::plan(const directory_state& state,
                                                       instant now) const {
    if (state.stores().groups.empty()) {
        return form_groups(state, now);
    }
    // One group at a time finds its new members, or two would choose the same store; those that
    // are complete don't wait for each other.
    change_store_groups change;
    bool searched = false;
    for (const store_map& map : state.stores().groups) {
        std::optional<store_map> next = plan_group(state, map, now);
        const bool completes = next.has_value() && !next->changing();
        if (!next.has_value() || (!completes && searched)) {
            continue;
        }
        searched = searched || !completes;
        next->epoch = state.stores().epoch + 1 + change.maps.size();
        change.maps.push_back(std::move(*next));
    }
    if (change.maps.empty()) {
        return std::nullopt;
    }
    return change;
}

std::vector<std::string> store_planner::describe_open_changes(const directory_state& state,
                                                              instant now) const {
    std::vector<std::string> lines;
    for (const store_map& map : state.stores().groups) {
        if (!map.changing()) {
            continue;
        }
        const auto uncopied = [&](const store_member& member) { return !has_copied(member, map); };
        const auto silent_too = [&](const store_member& member) {
            return uncopied(member) && !live(member.id, now);
        };
        const auto gone = [&](const store_member& member) { return lost(state, member, now); };
        const auto count = [](const member_list& members, const auto& holds) {
            return std::to_string(std::count_if(members.begin(), members.end(), holds));
        };
        lines.push_back(turns::describe(map) + " uncopied=" + count(map.next, uncopied) +
                        " silent=" + count(map.next, silent_too) +
                        " lost=" + count(map.current, gone));
    }
    return lines;
}

bool store_planner::may_retire(const directory_state& state, const node_name& node) const {
    // Machines are counted: one that lost a disk would count twice by its disks.
    std::set<node_name> left;
    std::set<node_name> emptied;
    const auto count = [&](const store_member& member) {
        (state.retired().contains(member.id) ? emptied : left).insert(member.node);
    };
    const member_list members = state.stores().all();
    std::for_each(members.begin(), members.end(), count);
    for (const auto& [id, entry] : stores_.all()) {
        count(entry.report.member);
    }
    left.erase(node);
    for (const node_name& gone : emptied) {
        left.erase(gone);
    }
    // Before the groups are formed, one of them has to be possible: an order taken then would leave
    // the system without any.
    const std::size_t groups = std::max<std::size_t>(1, state.stores().groups.size());
    return left.size() >= settings_.group_size() * groups;
}

std::vector<store_id> store_planner::disks_of(const directory_state& state,
                                              const node_name& node) const {
    std::set<store_id> disks;
    const auto collect = [&](const store_member& member) {
        if (member.node == node) {
            disks.insert(member.id);
        }
    };
    const member_list members = state.stores().all();
    std::for_each(members.begin(), members.end(), collect);
    for (const auto& [id, entry] : stores_.all()) {
        collect(entry.report.member);
    }
    return {disks.begin(), disks.end()};
}

}  // namespace tallyfold::directory
