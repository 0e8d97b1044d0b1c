#pragma once
/// @file
/// Exchanges the messages of a group_repair with the other members of this store's group. Runs on
/// the loop thread.
///
/// Owns one connection to each member. Members that do not know the messages are not asked.

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>

#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tallyfold/plane/turns/group_repair.hpp"
#include "tallyfold/plane/turns/store_fsm.hpp"

namespace tallyfold::turns {

class repair_client {
  public:
    /// @param store receives the records; must outlive this object
    /// @param on_records called when the store has records to write
    repair_client(asio::io_context& loop, store_fsm& store, std::function<void()> on_records);

    /// Connects to the members of the store's group, and disconnects from others.
    void update_group();
    /// Sends the next request if one is due. To be called at intervals well below
    /// copy_timeout::min_timeout.
    void send_due_request();
    /// Continues after a write, which may include the records received last.
    void on_written();

    [[nodiscard]] const group_repair& repair() const { return repair_; }

  private:
    void connect(const store_member& member);
    void on_message(const messaging::peer_message& message);
    [[nodiscard]] bool is_reachable(const store_member& member) const;

    asio::io_context& loop_;
    store_fsm& store_;
    std::function<void()> on_records_;
    group_repair repair_;
    /// Connections to the members, by address.
    std::map<std::string, messaging::link_pointer> links_;
    /// Number of repaired requests that has been logged.
    std::uint64_t logged_count_ = 0;
};

}  // namespace tallyfold::turns
