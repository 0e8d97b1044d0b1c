#include "tallyfold/plane/decisions/backend_subset.hpp"

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/scheduling/rendezvous.hpp"

namespace tallyfold::forwarding {

using scheduling::backend_pool;
using scheduling::backend_state;

void backend_subset::update(const std::vector<scheduling::backend_member>& members) {
    order_.clear();
    for (const scheduling::backend_member& member : members) {
        insert(member.name);
    }
}

std::pair<std::uint64_t, backend_name> backend_subset::place_of(const backend_name& name) const {
    return {scheduling::rendezvous_weight(node_key_, stable_hash(name)), name};
}

void backend_subset::insert(const backend_name& name) {
    order_.insert(place_of(name));
}

void backend_subset::remove(const backend_name& name) {
    order_.erase(place_of(name));
}

std::vector<backend_name> backend_subset::order() const {
    std::vector<backend_name> names;
    names.reserve(order_.size());
    for (const auto& [weight, name] : order_) {
        names.push_back(name);
    }
    return names;
}

std::vector<const backend_state*> backend_subset::usable(
    const backend_pool& pool, const std::function<bool(const backend_state&)>& is_usable) const {
    std::vector<const backend_state*> chosen;
    bool all_busy = true;
    for (const auto& [weight, name] : order_) {
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
