#pragma once
/// @file
/// Begins and settles turns at the stores, over the network. Runs on the loop thread.
///
/// Owns one connection to each store of the table, and the operations under way. begin_coordinator
/// and settle_operation decide what is sent when, and when an operation has ended.

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"
#include "tallyfold/plane/turns/begin_coordinator.hpp"

namespace tallyfold::turns {

class turn_client {
  public:
    /// @param on_newer_map called with each map that a store returns because a request was made
    /// under an older one
    turn_client(net::node_process& process, std::function<void(const store_map&)> on_newer_map);

    /// Adopts the newer maps of the table, and connects to its stores.
    void update_stores(const store_table& stores);
    [[nodiscard]] bool has_store_table() const { return table_.known(); }

    /// Begins a turn; requires has_store_table(). @return `unavailable` when undecided at the
    /// deadline
    asio::awaitable<begin_decision> begin(begin_parameters question, instant deadline);
    /// Settles a turn. @return true once the settlement is durable at a quorum; false at the
    /// deadline, which is logged
    asio::awaitable<bool> settle(turn_settlement settlement, cached_prompt held, instant deadline);
    /// Stores that hold what is kept under the key: the current and the future members of its
    /// group. Requires has_store_table().
    [[nodiscard]] std::vector<store_member> members_for(const std::string& key) const;
    [[nodiscard]] bool is_connected(store_id store) const;
    /// True when the store is connected and supports the format.
    [[nodiscard]] bool supports(store_id store, protocol::format_version format) const;
    /// Sends a message to a store that supports the format. @return false when it doesn't, or isn't
    /// connected
    bool send_message(store_id store, const messaging::peer_message& message,
                      protocol::format_version format);
    /// Sets the handler of stores' answers about origins of streams.
    void on_origin_answer(std::function<void(const streams::origin_answer&)> handler) {
        origin_answer_handler_ = std::move(handler);
    }
    /// Settles a turn in the background, for a caller that does not wait for it.
    void settle_in_background(turn_settlement settlement);
    /// Number of settlements under way in the background.
    [[nodiscard]] std::size_t background_settlement_count() const {
        return background_settlement_count_;
    }

  private:
    /// An operation under way, with either `begin` or `settle` set.
    struct pending_operation {
        explicit pending_operation(asio::io_context& loop) : timer(loop) {}
        asio::steady_timer timer;
        begin_coordinator* begin = nullptr;
        settle_operation* settle = nullptr;
        /// Resends of a settlement; begin_coordinator has its own.
        resend_backoff backoff;
    };
    struct store_connection {
        messaging::link_pointer link;
        instant last_received{};
    };

    std::shared_ptr<pending_operation> register_operation(operation_number number);
    [[nodiscard]] std::shared_ptr<pending_operation> find_operation(operation_number number) const;
    void on_message(store_id store, const messaging::peer_message& message);
    /// Handles a reply to a begin.
    template <class Reply>
    void on_begin_reply(const Reply& reply);
    void on_settle_reply(const settle_reply& reply);
    void report_newer_maps(const std::vector<store_map>& newer);
    /// Resends requests that may have been lost with the previous connection to the store.
    void resend_to(store_id store);
    void send(const store_member& member, const messaging::peer_message& message,
              instant first_sent);
    [[nodiscard]] store_id nearest(const store_map& map) const;
    asio::awaitable<void> wait(std::shared_ptr<pending_operation> pending, instant until);

    net::node_process& process_;
    std::function<void(const store_map&)> newer_map_handler_;
    std::function<void(const streams::origin_answer&)> origin_answer_handler_;
    store_table table_;
    std::map<store_id, store_connection> stores_;
    std::map<operation_number, std::shared_ptr<pending_operation>> operations_;
    operation_number next_operation_ = 1;
    std::size_t background_settlement_count_ = 0;
};

}  // namespace tallyfold::turns
