#pragma once
/// @file
/// Subset of the back ends of a service that one node uses, and the order in which it widens. No
/// I/O; backend_registry owns one for each service.
///
/// Subsetting limits the number of connections, which would otherwise grow as nodes times back
/// ends. Each node has an independent order of the back ends (rendezvous hashing), so the subsets
/// together cover all back ends, and adding or removing a back end changes few of them.

#include <cstdint>
#include <functional>
#include <set>
#include <utility>
#include <vector>

#include "tallyfold/scheduling/backend_pool.hpp"

namespace tallyfold::forwarding {

class backend_subset {
  public:
    /// Number of back ends in the subset while they are not busy, and by which it widens. With
    /// four, a node can skip two failed back ends and still select by load.
    static constexpr std::size_t base_size = 4;
    /// Number of outstanding calls, own and reported, at which a back end counts as busy. The
    /// subset widens when all of its back ends are busy.
    static constexpr std::uint32_t busy_threshold = 2;

    /// @param node_key distinct for each node
    explicit backend_subset(std::uint64_t node_key = 0) : node_key_(node_key) {}

    /// Replaces the back ends of the service with those of the membership list.
    void update(const std::vector<scheduling::backend_member>& members);
    void insert(const backend_name& name);
    void remove(const backend_name& name);

    /// First `base_size` usable back ends of the order, and further groups of `base_size` for as
    /// long as all selected ones are busy.
    [[nodiscard]] std::vector<const scheduling::backend_state*> usable(
        const scheduling::backend_pool& pool,
        const std::function<bool(const scheduling::backend_state&)>& is_usable) const;

    [[nodiscard]] std::vector<backend_name> order() const;

  private:
    [[nodiscard]] std::pair<std::uint64_t, backend_name> place_of(const backend_name& name) const;

    std::uint64_t node_key_;
    /// Back ends by their weight for this node.
    std::set<std::pair<std::uint64_t, backend_name>> order_;
};

}  // namespace tallyfold::forwarding
