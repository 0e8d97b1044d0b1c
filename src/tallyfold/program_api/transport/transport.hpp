#pragma once
/// @file
/// Connections between the program API's processes: TCP, an HMAC handshake, framed messages, and
/// heartbeats with deadlines both ways. Owns its thread and all sockets; a node that is lost is
/// told to the handler, never waited for. The forwarding plane's nodes have no keys and one thread
/// each: plane/messaging/peer_link is their counterpart.

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
    /// "ip:port" to accept on; empty when this process only dials.
    std::string listen;
    std::string key_file;
};

/// All handlers run on the transport's thread.
struct transport_handlers {
    /// @return false to have the message handed over again a little later; the connection is
    /// not read meanwhile (back-pressure to the peer).
    std::function<bool(const node_name& from, protocol::internal_message& message)> on_message;
    /// A connection was lost, or a message found none. @return false to be told again later.
    std::function<bool(const node_name& node)> on_lost;
    std::function<void(const logging::event_record& record)> on_event;
};

class transport {
  public:
    transport(transport_settings settings, transport_handlers handlers);
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /// Opens the listening socket and starts the thread. @return an error text, or empty.
    std::string start();
    void stop();

    /// Keeps a connection to `node` open, redialling after failures. Thread-safe.
    void dial(const node_name& node, const std::string& address);
    /// Sends a message; a node without a connection gets nothing. From one thread only.
    void send(protocol::outbound_message message);

  private:
    class engine;
    std::unique_ptr<engine> engine_;
};

}  // namespace tallyfold::net
