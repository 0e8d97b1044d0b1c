#include "tallyfold/turns/types.hpp"

#include <algorithm>

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

namespace {

bool lists(const std::vector<store_member>& members, store_id id) {
    return std::any_of(members.begin(), members.end(),
                       [id](const store_member& member) { return member.id == id; });
}

}  // namespace

bool store_map::holds(store_id id) const {
    return lists(current, id) || lists(next, id);
}

std::vector<store_member> store_map::all() const {
    std::vector<store_member> members = current;
    for (const store_member& member : next) {
        if (!lists(members, member.id)) {
            members.push_back(member);
        }
    }
    return members;
}

bool is_majority(const std::vector<store_member>& members, const std::set<store_id>& answered) {
    const auto count = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [&](const store_member& member) { return answered.contains(member.id); }));
    return count * 2 > members.size();
}

}  // namespace tallyfold::turns
