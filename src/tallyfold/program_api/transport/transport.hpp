#pragma once
/// @file
/// Connections between the program API's processes: TCP, an HMAC handshake, framed messages, and
/// pings with a silence limit in both directions. Owns its thread and all sockets; the loss of a
/// node is reported to the handler, and nothing blocks on a peer. The forwarding plane's
/// counterpart, without keys and on one thread, is plane/messaging/peer_link.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "tallyfold/base/common/bounded_ring.hpp"
#include "tallyfold/base/logging/event_catalogue.hpp"
#include "tallyfold/base/net/socket_address.hpp"
#include "tallyfold/program_api/transport/cluster_keys.hpp"
#include "tallyfold/program_api/transport/messages.hpp"

namespace tallyfold::net {

struct transport_settings {
    node_name node;
    /// Listening address "ip:port"; empty when this process only dials.
    std::string listen;
    std::string key_file;
};

/// All handlers run on the transport's thread.
struct transport_handlers {
    /// @return false to have the message delivered again later; the connection is not read until
    /// then (back-pressure to the peer).
    std::function<bool(const node_name& from, protocol::internal_message& message)> on_message;
    /// A connection was lost, or a message had no connection. @return false to be called again
    /// later.
    std::function<bool(const node_name& node)> on_lost;
    std::function<void(const logging::event_record& record)> on_event;
};

class transport {
  public:
    transport(transport_settings settings, transport_handlers handlers);
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /// Opens the listening socket and starts the thread. @return an error message, or empty.
    std::string start();
    void stop();

    /// Keeps a connection to `node` open, redialling after failures. Thread-safe.
    void dial(const node_name& node, const std::string& address);
    /// Sends a message. Without a connection to the node the message is dropped and the loss
    /// reported. From one thread only.
    void send(protocol::outbound_message message);

  private:
    class engine;
    std::unique_ptr<engine> engine_;
};

}  // namespace tallyfold::net
