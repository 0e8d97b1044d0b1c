#pragma once
/// @file
/// Begins and settles turns at the stores, over the network. Belongs to the loop thread.
///
/// Owns one connection to each store of the table, and the operations under way. Relies on
/// turn_beginning and settle_operation for what is sent when, and for when an operation has ended.

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"
#include "tallyfold/plane/turns/turn_beginning.hpp"

namespace tallyfold::turns {

class turn_client {
  public:
    /// @param on_newer_map called with each map that a store has sent because it is newer than the
    /// one that this node asked under
    turn_client(net::node_process& process, std::function<void(const store_map&)> on_newer_map);

    /// Takes over what is newer in the table, and connects to its stores.
    void use_stores(const store_table& stores);
    [[nodiscard]] bool has_store_table() const { return table_.known(); }

    /// Begins a turn; needs has_store_table(). @return `unavailable` when it is undecided at the
    /// deadline
    asio::awaitable<begun_turn> begin(turn_question question, instant deadline);
    /// @return true once the end is durable at a quorum, false at the deadline, which is logged
    asio::awaitable<bool> settle(turn_settlement settlement, cached_prompt held, instant deadline);
    /// Settles in the background, for turns whose caller doesn't wait for it.
    void settle_later(turn_settlement settlement);
    /// Settlements that are still under way in the background.
    [[nodiscard]] std::size_t settling() const { return settling_; }

  private:
    /// One operation under way, of either kind.
    struct pending_operation {
        explicit pending_operation(asio::io_context& loop) : timer(loop) {}
        asio::steady_timer timer;
        turn_beginning* begin = nullptr;
        settle_operation* settle = nullptr;
        /// Of a settlement; a beginning has its own.
        resend_backoff backoff;
    };
    struct store_connection {
        messaging::link_pointer link;
        instant last_received{};
    };

    std::shared_ptr<pending_operation> register_operation(operation_number number);
    [[nodiscard]] std::shared_ptr<pending_operation> find_operation(operation_number number) const;
    void on_message(store_id store, const messaging::peer_message& message);
    /// A reply to the beginning of a turn.
    template <class Reply>
    void on_begin_reply(const Reply& reply);
    void on_settle_reply(const settle_reply& reply);
    void report_newer_maps(const std::vector<store_map>& newer);
    /// The store can be reached again: what was sent over the lost connection is sent again.
    void resend_to(store_id store);
    void send(const store_member& member, const messaging::peer_message& message,
              instant first_sent);
    [[nodiscard]] store_id nearest(const store_map& map) const;
    asio::awaitable<void> wait(std::shared_ptr<pending_operation> pending, instant until);

    net::node_process& process_;
    std::function<void(const store_map&)> newer_map_handler_;
    store_table table_;
    std::map<store_id, store_connection> stores_;
    std::map<operation_number, std::shared_ptr<pending_operation>> operations_;
    operation_number next_operation_ = 1;
    std::size_t settling_ = 0;
};

}  // namespace tallyfold::turns
