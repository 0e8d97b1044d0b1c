#pragma once
/// @file
/// The few back ends of a service that one node keeps to, and the order in which it widens them.
/// Pure; backend_registry owns one for each service.
///
/// A node that spreads its calls over all back ends keeps a connection to each of them, so
/// connections grow as nodes times back ends. One that keeps to the first few of an order of its
/// own needs only those; the orders of different nodes are independent (rendezvous hashing), so
/// together they cover all back ends, and a back end that comes or goes changes few of them.

#include <cstdint>
#include <functional>
#include <vector>

#include "tallyfold/scheduling/backend_pool.hpp"

namespace tallyfold::forwarding {

class backend_subset {
  public:
    /// Back ends that a node keeps to while they are not busy with its calls. Chosen, not measured
    /// by itself: four let a node pass over two that fail and still choose by load. Subsets
    /// measured 710 -> 573 new connections on a small twin of huayin-preview-large (one play, with
    /// groups of stores; docs/SCALE.md), and -0.001 (-0.027 to +0.046) of worth on nine forwarders,
    /// six plays.
    static constexpr std::size_t base_size = 4;
    /// Own calls under way at each back end of the subset from which on the node widens it. Chosen,
    /// not measured: below it a call is as quick at the subset as elsewhere, as a rule.
    static constexpr std::uint32_t busy_threshold = 2;

    /// @param node_key differs from node to node
    explicit backend_subset(std::uint64_t node_key = 0) : node_key_(node_key) {}

    /// Takes the service's back ends as the list names them.
    void update(const std::vector<scheduling::backend_member>& members);

    /// The first back ends of the order that are usable: as many as a node keeps to, and as many
    /// again for as long as each of those has enough of the node's own calls.
    [[nodiscard]] std::vector<const scheduling::backend_state*> usable(
        const scheduling::backend_pool& pool,
        const std::function<bool(const scheduling::backend_state&)>& is_usable) const;

    [[nodiscard]] const std::vector<backend_name>& order() const { return order_; }

  private:
    std::uint64_t node_key_;
    std::vector<backend_name> order_;
};

}  // namespace tallyfold::forwarding
