#pragma once
/// @file
/// Selects the directory node that a forwarder asks for places of one engine group. No I/O;
/// dispatch_client owns one for each group.
///
/// Failure pattern: the node that dispatches is killed, frozen or cut off. The first request
/// without an answer moves all later ones to the next node in the group's order; the preferred node
/// is tried again after a delay that doubles.

#include <optional>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::forwarding {

class decider_choice {
  public:
    /// Delay before a silent node is asked again; doubles up to the maximum. An unanswered attempt
    /// costs one call answer_timeout of dispatch_client.
    static constexpr duration first_retry_delay = std::chrono::seconds(1);
    static constexpr duration max_retry_delay = std::chrono::seconds(4);

    /// Sets the nodes, first choice first. What is known of nodes that stay is kept.
    void set_order(std::vector<node_name> order);
    /// Node to ask now: the first in the order that is usable; nothing when none is.
    /// @param usable false for nodes that are not connected or of an earlier format
    template <class Usable>
    [[nodiscard]] std::optional<node_name> current(instant now, Usable&& usable) const;
    /// Records that the node didn't answer in time. @return true when this is new
    bool unanswered(const node_name& node, instant now);
    /// Records an answer. @return true when the node was silent before
    bool answered(const node_name& node);
};

}  // namespace tallyfold::forwarding
