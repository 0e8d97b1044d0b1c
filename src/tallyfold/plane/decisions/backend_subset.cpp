#include "tallyfold/plane/decisions/backend_subset.hpp"

#include <algorithm>
#include <utility>

#include "tallyfold/scheduling/rendezvous.hpp"

namespace tallyfold::forwarding {

using scheduling::backend_pool;
using scheduling::backend_state;

void backend_subset::update(const std::vector<scheduling::backend_member>& members) {
    std::vector<std::pair<std::uint64_t, backend_name>> weighted;
    weighted.reserve(members.size());
    for (const scheduling::backend_member& member : members) {
        weighted.emplace_back(scheduling::rendezvous_weight(node_key_, member.name), member.name);
    }
    std::sort(weighted.begin(), weighted.end());
    order_.clear();
    order_.reserve(weighted.size());
    for (auto& [weight, name] : weighted) {
        order_.push_back(std::move(name));
    }
}

std::vector<const backend_state*> backend_subset::usable(
    const backend_pool& pool, const std::function<bool(const backend_state&)>& is_usable) const {
    std::vector<const backend_state*> chosen;
    bool all_busy = true;
    for (const backend_name& name : order_) {
        const backend_state* backend = pool.find(name);
        if (backend == nullptr || !is_usable(*backend)) {
            continue;
        }
        chosen.push_back(backend);
        all_busy = all_busy && backend->outstanding() >= busy_threshold;
        if (chosen.size() % base_size == 0 && !all_busy) {
            break;
        }
    }
    return chosen;
}

}  // namespace tallyfold::forwarding
