#pragma once
/// @file
/// Selects the directory node that a forwarder asks for places. No I/O; dispatch_client owns it.
///
/// Failure pattern: the node that dispatches is killed, frozen or cut off. The first request
/// without an answer moves all later ones to the next node in the group's order; the silent node is
/// tried again after a delay that doubles, so that a node that stays silent costs few calls the
/// wait.

#include <map>
#include <optional>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::forwarding {

class dispatcher_choice {
  public:
    /// Delay before a silent node is asked again; doubles with each further silence.
    static constexpr duration first_retry_delay = std::chrono::seconds(1);
    static constexpr duration max_retry_delay = std::chrono::seconds(4);

    /// First node in `order` that is usable and not silent; nothing when there is none.
    /// @param usable false for nodes that are not connected or of an earlier format
    template <class Usable>
    [[nodiscard]] std::optional<node_name> choose(const std::vector<node_name>& order, instant now,
                                                  Usable&& usable) const {
        for (const node_name& node : order) {
            if (!is_silent(node, now) && usable(node)) {
                return node;
            }
        }
        return std::nullopt;
    }
    /// True while the node must not be asked.
    [[nodiscard]] bool is_silent(const node_name& node, instant now) const;
    /// True from a silence until the next answer, also while the node may be asked again.
    [[nodiscard]] bool is_doubtful(const node_name& node) const { return silent_.contains(node); }
    /// Records that the node did not answer in time. Requests that were sent before a silence was
    /// recorded, or that end while the node must not be asked, do not count again: otherwise calls
    /// that wait together would lengthen the delay at once.
    /// @param asked_at when the unanswered request was sent
    /// @return true when the request counts as a silence
    bool unanswered(const node_name& node, instant asked_at, instant now);
    /// Records an answer. @return true when the node was silent before
    bool answered(const node_name& node);

  private:
    struct silence {
        instant since{};
        instant until{};
        duration delay = first_retry_delay;
    };
    std::map<node_name, silence> silent_;
};

}  // namespace tallyfold::forwarding
