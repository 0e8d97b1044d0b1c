#pragma once
/// @file
/// Connections from this directory node to the others. Owns one link for each address that
/// anything was sent to; links reconnect by themselves and drop what is sent meanwhile. Relies on
/// the loop thread, to which it belongs.

#include <functional>
#include <map>
#include <string>

#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::directory {

class directory_links {
  public:
    /// @param on_report_answer called with each answer to a report that was sent over a link
    directory_links(net::node_process& process,
                    std::function<void(const node_report_answer&)> on_report_answer);

    /// Sends one of the core's messages; drops those to this node itself or without an address.
    void send(addressed_message message);
    /// Sends to the directory node at `address` ("ip:port").
    void send(const node_name& address, const node_report& report);

  private:
    /// For a node that knows the first form alone. @return false when the message has no such form
    bool give_first_format(const node_name& to, consensus::replica_message& message);
    messaging::peer_link& link_to(const node_name& address);

    net::node_process& process_;
    std::function<void(const node_report_answer&)> on_report_answer_;
    std::map<node_name, messaging::link_pointer> links_;
    /// Messages that weren't sent, since their receiver couldn't have read them.
    std::uint64_t withheld_ = 0;
};

}  // namespace tallyfold::directory
