#pragma once
/// @file
/// Connections from this directory node to the others. Owns one link per address that a message was
/// sent to; links reconnect automatically and drop messages while disconnected. Runs on the loop
/// thread.

#include <functional>
#include <map>
#include <string>

#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::directory {

class directory_links {
  public:
    /// Handles a message received over the link to the node `from`.
    using message_handler =
        std::function<void(const node_name& from, const messaging::peer_message& message)>;

    directory_links(net::node_process& process, message_handler on_message);

    /// Sends a message of the core; drops messages to this node itself or without an address.
    void send(addressed_message message);
    /// Sends to the directory node at `address` ("ip:port").
    void send(const node_name& address, const messaging::peer_message& message);
    /// The newest format that the node at `address` is known to support.
    [[nodiscard]] protocol::format_version peer_format(const node_name& address) const;

  private:
    /// Converts a message for a node that supports only format v1.
    /// @return false when the message cannot be represented in that format
    bool convert_to_first_format(const node_name& to, consensus::replica_message& message);
    messaging::peer_link& link_to(const node_name& address);

    net::node_process& process_;
    message_handler on_message_;
    std::map<node_name, messaging::link_pointer> links_;
    /// Number of messages not sent because their receiver could not have read them.
    std::uint64_t withheld_ = 0;
};

}  // namespace tallyfold::directory
