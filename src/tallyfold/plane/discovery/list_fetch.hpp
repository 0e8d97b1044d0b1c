#pragma once
/// @file
/// Fetches the list of back ends from directory nodes. Only one request is pending at a time, so
/// that nodes that start together do not cause several copies of the list to be sent to each. Owns
/// the parts received; its owner sends the requests and owns the list. Pure.

#include <optional>
#include <string>

#include "tallyfold/base/common/types.hpp"
#include "tallyfold/plane/discovery/backend_list.hpp"
#include "tallyfold/plane/discovery/list_messages.hpp"

namespace tallyfold::discovery {

class list_fetch {
  public:
    struct progress {
        /// The next request to the same node.
        std::optional<list_request> next;
        /// What changed, once the list has been applied.
        std::optional<list_changes> changes;
        /// Why the fetched content is unusable, for the log; empty on success.
        std::string problem;
    };

    /// @param list outlives the fetch; received lists are applied to it
    explicit list_fetch(backend_list& list) : list_(list) {}

    /// Handles a directory node's status.
    /// @return the request to send to it: set when its list is a newer one, unless another request
    /// is pending and has not timed out
    std::optional<list_request> on_status(const node_name& node, const list_status& status,
                                          instant now);
    /// Handles a part. Parts from a node other than the one asked are ignored. A part that does not
    /// fit ends the fetch; the next on_status() starts a new one.
    progress receive(const node_name& from, const list_part& part, instant now);
    /// Handles the loss of the connection to a node: cancels the request pending there.
    void on_disconnect(const node_name& node);

  private:
    [[nodiscard]] list_request next_request() const;
    progress complete(instant now, instant polled_at);
    void end_request();
    void discard_content();

    backend_list& list_;
    /// The node whose answer is pending; empty for none.
    node_name pending_node_;
    instant requested_at_{};
    /// Number of requests in a row that timed out.
    unsigned timeouts_ = 0;
    std::uint64_t content_id_ = 0;
    std::string received_bytes_;
    /// True after a content was unusable: the next request asks for the full list.
    bool needs_full_ = false;
};

}  // namespace tallyfold::discovery
