#include "tallyfold/plane/turns/types.hpp"

#include <algorithm>
#include <utility>

#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::turns {

void merge(ledger_entry& target, const ledger_entry& other) {
    if (other.settled && !target.settled) {
        target = other;
    } else if (other.settled == target.settled) {
        target.tokens = std::max(target.tokens, other.tokens);
    }
}

void merge(program_ledger& target, const program_ledger& other) {
    for (const auto& [request, entry] : other) {
        const auto [position, added] = target.try_emplace(request, entry);
        if (!added) {
            merge(position->second, entry);
        }
    }
}

turn_settlement settlement_of_records(const std::string& program, std::uint32_t retention_ms,
                                      std::vector<turn_record> records) {
    return {program, "", 0, retention_ms, std::nullopt, std::move(records)};
}

bool holds_only_records(const turn_settlement& settlement) {
    return settlement.request.empty();
}

namespace {

bool contains_member(const std::vector<store_member>& members, store_id id) {
    return std::any_of(members.begin(), members.end(),
                       [id](const store_member& member) { return member.id == id; });
}

}  // namespace

bool store_map::contains(store_id id) const {
    return contains_member(current, id) || contains_member(next, id);
}

bool store_map::recovering() const {
    return after_loss && changing() &&
           std::all_of(next.begin(), next.end(), [this](const store_member& member) {
               return contains_member(current, member.id);
           });
}

std::vector<store_member> store_map::all() const {
    std::vector<store_member> members = current;
    for (const store_member& member : next) {
        if (!contains_member(members, member.id)) {
            members.push_back(member);
        }
    }
    return members;
}

bool store_map::has_current_quorum(const std::set<store_id>& answered) const {
    if (recovering()) {
        return !current.empty() &&
               std::all_of(current.begin(), current.end(), [&](const store_member& member) {
                   return answered.contains(member.id);
               });
    }
    return !current.empty() && is_majority(current, answered);
}

std::size_t store_map::required_copy_count() const {
    const std::size_t majority = current.size() / 2 + 1;
    return recovering() ? current.size() : current.size() - majority + 1;
}

group_number group_of_program(const std::string& program, std::size_t group_count) {
    return static_cast<group_number>(stable_hash(program) % group_count);
}

group_number store_table::group_of(const std::string& program) const {
    return group_of_program(program, groups.size());
}

bool store_table::contains(store_id id) const {
    return std::any_of(groups.begin(), groups.end(),
                       [id](const store_map& map) { return map.contains(id); });
}

std::vector<store_member> store_table::all() const {
    std::vector<store_member> members;
    for (const store_map& map : groups) {
        for (const store_member& member : map.all()) {
            if (!contains_member(members, member.id)) {
                members.push_back(member);
            }
        }
    }
    return members;
}

bool store_table::merge_newer(const store_map& map) {
    if (map.group >= max_groups) {
        return false;
    }
    if (map.group >= groups.size()) {
        groups.resize(map.group + 1);
    }
    if (map.epoch <= groups[map.group].epoch) {
        return false;
    }
    groups[map.group] = map;
    return true;
}

bool store_table::merge_newer(const store_table& other) {
    bool newer = other.epoch > epoch;
    epoch = std::max(epoch, other.epoch);
    for (const store_map& map : other.groups) {
        newer = merge_newer(map) || newer;
    }
    return newer;
}

std::string describe(const store_map& map) {
    return "epoch=" + std::to_string(map.epoch) + " group=" + std::to_string(map.group) +
           " stores=" + std::to_string(map.current.size()) +
           " next=" + std::to_string(map.next.size()) +
           " after_loss=" + (map.after_loss ? "yes" : "no");
}

bool is_majority(const std::vector<store_member>& members, const std::set<store_id>& answered) {
    const auto count = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [&](const store_member& member) { return answered.contains(member.id); }));
    return count * 2 > members.size();
}

}  // namespace tallyfold::turns
