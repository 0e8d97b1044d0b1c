#pragma once
/// @file
/// Rules for retiring a store: whether enough others would remain, and whether its machine may be
/// removed with its disk. Pure functions of a store_view or the replicated state.
///
/// An order covers the disks that the node has until it is complete, including one that replaces a
/// lost disk meanwhile. A disk that appears under the node's name afterwards is a new store.
///
/// A store counts as remaining only while it is live. Members and spares that failed permanently
/// are still known to the leader, and would otherwise count for as long as it leads.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/plane/directory/store_view.hpp"

namespace tallyfold::directory {

/// Progress of the last order to retire a node's store.
enum class retirement_state : std::uint8_t {
    /// No order, or the node has joined a group with a new disk since.
    none,
    /// A group still depends on the node.
    running,
    /// No group depends on the node, so that its machine may be removed.
    complete,
};

enum class retirement_verdict : std::uint8_t {
    allowed,
    /// An earlier order covers the store.
    already_ordered,
    /// Fewer stores would remain than the groups need.
    too_few_remain,
    /// Depends on stores that may be restarting or that a new leader has not heard yet, or on
    /// another order that is not yet applied.
    undetermined,
    unknown_store,
};

/// A store that would remain after the retirement.
struct remaining_store {
    node_name node;
    /// Age of its last report; since leadership began when it has not reported.
    duration age{};
};

struct retirement_assessment {
    retirement_verdict verdict = retirement_verdict::undetermined;
    /// Number of stores that the groups need.
    std::size_t required = 0;
    /// Number of remaining stores that are live.
    std::size_t live = 0;
    /// Number of remaining stores that have been silent for no longer than a restart takes, or
    /// whose own retirement is not yet applied.
    std::size_t uncertain = 0;
    /// All remaining stores, in order of their names.
    std::vector<remaining_store> remaining;
};

[[nodiscard]] retirement_state state_of_retirement(const directory_state& state,
                                                   const node_name& node);

/// The order for new disks of a node whose retirement is running; empty when there are none.
[[nodiscard]] std::optional<retire_store> extend_running_retirement(const store_view& view);

/// Assesses whether the node's store may be retired now.
/// @param pending nodes of other orders that are not yet applied
[[nodiscard]] retirement_assessment assess_retirement(const store_view& view, const node_name& node,
                                                      const std::set<node_name>& pending);

/// Disks of the node's store, each listed once, whether in a group or spare.
[[nodiscard]] std::vector<turns::store_id> disks_of(const store_view& view, const node_name& node);

/// Formats the assessment as fields of a log line. Lists a limited number of stores.
[[nodiscard]] std::string describe(const retirement_assessment& assessment);

}  // namespace tallyfold::directory
