#pragma once
/// @file
/// Begins and settles turns at the stores, over the network. Belongs to the loop thread.

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tallyfold/messaging/peer_link_shell.hpp"
#include "tallyfold/net/node_process_shell.hpp"
#include "tallyfold/turns/quorum_operations.hpp"
#include "tallyfold/turns/resend_schedule.hpp"

namespace tallyfold::turns {

struct turn_question {
    turn_reservation reservation;
    std::string previous;
    /// 0 sets no bound.
    token_count budget = 0;
    /// Ends of the prompt's parts, shortest first.
    std::vector<scheduling::prefix_point> prompt;
};

enum class begin_result : std::uint8_t { admitted, over_budget, unknown_previous, unavailable };

struct begun_turn {
    begin_result result = begin_result::unavailable;
    /// The line before the turn, oldest first.
    std::vector<turn_record> chain;
    /// What the decision was made from.
    token_count used_tokens = 0;
    std::size_t store_answers = 0;
    map_epoch epoch = 0;
    /// Engines that hold most of the prompt, as the stores know it.
    std::vector<scheduling::cached_prefix> holders;
};

class turn_client {
  public:
    /// @param on_newer_map a store knew a newer map than this node
    turn_client(net::node_process& process, std::function<void(const store_map&)> on_newer_map);

    void use_map(const store_map& map);
    [[nodiscard]] bool knows_stores() const { return !map_.current.empty(); }

    asio::awaitable<begun_turn> begin(turn_question question, instant deadline);
    /// @return true once the end is durable at a majority
    asio::awaitable<bool> settle(turn_settlement settlement, held_prompt held, instant deadline);
    /// Settles in the background, for turns whose end nobody waits for.
    void settle_later(turn_settlement settlement);
    /// Settlements that are still under way in the background.
    [[nodiscard]] std::size_t settling() const { return settling_; }

  private:
    struct waiting_operation {
        explicit waiting_operation(asio::io_context& loop) : timer(loop) {}
        asio::steady_timer timer;
        begin_operation* begin = nullptr;
        settle_operation* settle = nullptr;
        resend_schedule schedule;
    };
    struct known_store {
        messaging::link_pointer link;
        instant heard{};
    };

    std::shared_ptr<waiting_operation> enlist(operation_number number);
    void on_message(store_id store, const messaging::peer_message& message);
    void on_newer_map(waiting_operation& waiting, const std::vector<store_map>& maps);
    void send(const store_member& member, const messaging::peer_message& message,
              instant first_sent);
    [[nodiscard]] store_id nearest(const store_map& map) const;
    asio::awaitable<void> wait(std::shared_ptr<waiting_operation> waiting, instant until);

    net::node_process& process_;
    std::function<void(const store_map&)> newer_map_handler_;
    store_map map_;
    std::map<store_id, known_store> stores_;
    std::map<operation_number, std::shared_ptr<waiting_operation>> operations_;
    operation_number next_operation_ = 1;
    std::size_t settling_ = 0;
};

}  // namespace tallyfold::turns
