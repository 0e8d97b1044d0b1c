#include "tallyfold/plane/directory/store_retirement.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace tallyfold::directory {

using turns::store_id;
using turns::store_map;
using turns::store_member;

namespace {

/// Maximum number of stores listed in a log line.
constexpr std::size_t max_described_stores = 16;

/// The disk that a node reported last.
struct present_disk {
    store_id id = 0;
    duration age{};
};

/// The present disk of each node that has a store.
std::map<node_name, present_disk> present_disks(const store_view& view) {
    std::map<node_name, present_disk> disks;
    for (const store_member& member : view.known_stores()) {
        const duration age = view.age_of_report(member.id);
        const auto [entry, is_new] = disks.try_emplace(member.node, present_disk{member.id, age});
        if (!is_new && age < entry->second.age) {
            entry->second = {member.id, age};
        }
    }
    return disks;
}

std::string_view text_of(retirement_verdict verdict) {
    switch (verdict) {
        case retirement_verdict::allowed:
            return "allowed";
        case retirement_verdict::already_ordered:
            return "already_ordered";
        case retirement_verdict::too_few_remain:
            return "too_few_remain";
        case retirement_verdict::undetermined:
            return "undetermined";
        case retirement_verdict::unknown_store:
            break;
    }
    return "unknown_store";
}

retirement_verdict verdict_on(const store_view& view, const retirement_assessment& counted) {
    if (counted.live >= counted.required) {
        return retirement_verdict::allowed;
    }
    const bool all_have_reported = view.leading_for() > view.settings().silence_timeout;
    const bool may_suffice = counted.live + counted.uncertain >= counted.required;
    return all_have_reported && !may_suffice ? retirement_verdict::too_few_remain
                                             : retirement_verdict::undetermined;
}

/// True when an order covers the node's store, as far as the leader knows the node's disks.
bool is_already_ordered(const store_view& view, const node_name& node,
                        const std::map<node_name, present_disk>& disks) {
    const retirement_state progress = state_of_retirement(view.state(), node);
    if (progress != retirement_state::complete) {
        return progress == retirement_state::running;
    }
    const auto present = disks.find(node);
    return present == disks.end() ? view.leading_for() > view.settings().silence_timeout
                                  : view.is_retired(present->second.id);
}

}  // namespace

retirement_state state_of_retirement(const directory_state& state, const node_name& node) {
    const auto& retired = state.retired();
    const bool is_ordered = std::any_of(retired.begin(), retired.end(),
                                        [&](const auto& disk) { return disk.second == node; });
    if (!is_ordered) {
        return retirement_state::none;
    }
    bool is_member = false;
    for (const store_map& map : state.stores().groups) {
        store_list members = map.all();
        // The group copies from an absent member when it returns.
        members.insert(members.end(), map.absent.begin(), map.absent.end());
        for (const store_member& member : members) {
            if (member.node == node && retired.contains(member.id)) {
                return retirement_state::running;
            }
            is_member = is_member || member.node == node;
        }
    }
    return is_member ? retirement_state::none : retirement_state::complete;
}

std::optional<retire_store> extend_running_retirement(const store_view& view) {
    if (view.state().retired().empty()) {
        return std::nullopt;
    }
    for (const store_member& store : view.live_stores()) {
        if (!view.is_retired(store.id) &&
            state_of_retirement(view.state(), store.node) == retirement_state::running) {
            return retire_store{store.node, {store.id}};
        }
    }
    return std::nullopt;
}

retirement_assessment assess_retirement(const store_view& view, const node_name& node,
                                        const std::set<node_name>& pending) {
    const std::map<node_name, present_disk> disks = present_disks(view);
    retirement_assessment assessment;
    // Before the groups are formed, enough stores for one group have to remain.
    const std::size_t groups = std::max<std::size_t>(1, view.state().stores().groups.size());
    assessment.required = view.settings().group_size() * groups;
    for (const auto& [name, disk] : disks) {
        if (name == node || view.is_retired(disk.id)) {
            continue;
        }
        assessment.remaining.push_back({name, disk.age});
        if (view.is_live(disk.id) && !pending.contains(name)) {
            ++assessment.live;
        } else if (!view.is_silent(disk.id)) {
            ++assessment.uncertain;
        }
    }
    if (is_already_ordered(view, node, disks)) {
        assessment.verdict = retirement_verdict::already_ordered;
    } else if (disks.contains(node)) {
        assessment.verdict = verdict_on(view, assessment);
    } else if (view.leading_for() > view.settings().silence_timeout) {
        assessment.verdict = retirement_verdict::unknown_store;
    }
    return assessment;
}

std::vector<store_id> disks_of(const store_view& view, const node_name& node) {
    std::set<store_id> disks;
    for (const store_member& member : view.known_stores()) {
        if (member.node == node) {
            disks.insert(member.id);
        }
    }
    return {disks.begin(), disks.end()};
}

std::string describe(const retirement_assessment& assessment) {
    std::string fields = "verdict=" + std::string(text_of(assessment.verdict)) +
                         " required=" + std::to_string(assessment.required) +
                         " live=" + std::to_string(assessment.live) +
                         " uncertain=" + std::to_string(assessment.uncertain) +
                         " remaining=" + std::to_string(assessment.remaining.size()) + " ages_ms=";
    const std::size_t described = std::min(assessment.remaining.size(), max_described_stores);
    for (std::size_t position = 0; position < described; ++position) {
        const remaining_store& store = assessment.remaining[position];
        fields += (position == 0 ? "" : ",") + store.node + ':' +
                  std::to_string(to_milliseconds(store.age));
    }
    return fields + (described == 0 ? "-" : "");
}

}  // namespace tallyfold::directory
