#include "tallyfold/plane/dispatch/engine_groups.hpp"

#include <algorithm>
#include <numeric>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/scheduling/rendezvous.hpp"

namespace tallyfold::dispatch {

namespace {

std::uint64_t key_of(const engine_group& group) {
    return combine_hash(stable_hash(group.service), group.index);
}

}  // namespace

group_index group_count(std::size_t engines) {
    const std::size_t groups = (engines + max_group_engines - 1) / max_group_engines;
    return static_cast<group_index>(std::max<std::size_t>(1, groups));
}

std::vector<group_index> assign_groups(const std::vector<backend_name>& engines) {
    const group_index groups = group_count(engines.size());
    std::vector<std::pair<std::uint64_t, std::size_t>> by_hash;
    by_hash.reserve(engines.size());
    for (std::size_t position = 0; position < engines.size(); ++position) {
        by_hash.emplace_back(stable_hash(engines[position]), position);
    }
    std::sort(by_hash.begin(), by_hash.end());
    std::vector<group_index> assigned(engines.size());
    for (std::size_t rank = 0; rank < by_hash.size(); ++rank) {
        assigned[by_hash[rank].second] = static_cast<group_index>(rank * groups / by_hash.size());
    }
    return assigned;
}

group_index group_of_program(std::uint64_t program, group_index groups) {
    group_index chosen = 0;
    std::uint64_t best = 0;
    for (group_index index = 0; index < groups; ++index) {
        const std::uint64_t weight = scheduling::rendezvous_weight(program, index + 1);
        if (index == 0 || weight > best) {
            chosen = index;
            best = weight;
        }
    }
    return chosen;
}

std::vector<node_name> dispatch_order(const engine_group& group,
                                      const std::vector<node_name>& directory_nodes,
                                      const node_name& leader) {
    const std::uint64_t key = key_of(group);
    std::vector<node_name> order = directory_nodes;
    const auto rank = [&](const node_name& node) {
        return std::pair(node == leader, scheduling::rendezvous_weight(key, stable_hash(node)));
    };
    std::sort(order.begin(), order.end(), [&](const node_name& left, const node_name& right) {
        return rank(left) < rank(right);
    });
    return order;
}

}  // namespace tallyfold::dispatch
