#include "tallyfold/plane/turns/turn_search.hpp"

#include <algorithm>
#include <utility>

#include "tallyfold/plane/turns/request_number.hpp"

namespace tallyfold::turns {

turn_search::turn_search(const store_table& table, std::string request, group_number own_group)
    : request_(std::move(request)) {
    for (const store_map& map : table.groups) {
        if (map.group != own_group) {
            groups_[map.group].map = map;
        }
    }
}

void turn_search::use_table(const store_table& table) {
    for (const store_map& map : table.groups) {
        const auto searched = groups_.find(map.group);
        if (searched != groups_.end() && map.epoch > searched->second.map.epoch) {
            searched->second = {map, {}, searched->second.holds};
        }
    }
}

void turn_search::on_reply(const find_reply& reply) {
    for (auto& [number, searched] : groups_) {
        const std::vector<store_member> members = searched.map.all();
        const auto member = std::find_if(
            members.begin(), members.end(),
            [&](const store_member& candidate) { return candidate.id == reply.store; });
        if (member == members.end()) {
            continue;
        }
        if (reply.held) {
            searched.holds = true;
            holders_.push_back(*member);
        } else if (reply.newer_map.empty() && made_under(reply.operation, searched.map.epoch)) {
            searched.denials.insert(reply.store);
        }
    }
}

std::vector<store_member> turn_search::sources() const {
    std::vector<store_member> stores = holders_;
    for (const auto& [number, searched] : groups_) {
        if (searched.holds) {
            const std::vector<store_member> members = searched.map.all();
            stores.insert(stores.end(), members.begin(), members.end());
        }
    }
    return stores;
}

bool turn_search::held_by_no_group() const {
    const auto denied_by_quorum = [](const auto& entry) {
        const searched_group& searched = entry.second;
        return !searched.map.after_loss && searched.map.has_current_quorum(searched.denials);
    };
    return !found() && std::all_of(groups_.begin(), groups_.end(), denied_by_quorum);
}

bool turn_search::denied_by_all_stores() const {
    return !found() && std::all_of(groups_.begin(), groups_.end(), [](const auto& entry) {
        const searched_group& searched = entry.second;
        const std::vector<store_member> members = searched.map.all();
        return !searched.map.changing() &&
               std::all_of(members.begin(), members.end(), [&](const store_member& member) {
                   return searched.denials.contains(member.id);
               });
    });
}

std::vector<turn_search::store_request> turn_search::unanswered(operation_number operation) const {
    std::vector<store_request> requests;
    for (const auto& [number, searched] : groups_) {
        for (const store_member& member : searched.map.all()) {
            if (!searched.denials.contains(member.id)) {
                const operation_number number = request_number(operation, searched.map.epoch);
                requests.push_back({member, {number, searched.map.epoch, request_}});
            }
        }
    }
    return requests;
}

const store_map* turn_search::map_of(group_number group) const {
    const auto searched = groups_.find(group);
    return searched == groups_.end() ? nullptr : &searched->second.map;
}

}  // namespace tallyfold::turns
