#pragma once
/// @file
/// Records origins of streams at the stores of their groups, and looks them up there. Owns the
/// lookups under way; origin_lookup decides when one has ended, turn_client provides the
/// connections. Runs on the loop thread.
///
/// A stream's identifier determines its group, so that a node which knows nothing else of the
/// stream asks the right stores.

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>

#include "tallyfold/plane/process/node_process_shell.hpp"
#include "tallyfold/plane/streams/origin_lookup.hpp"
#include "tallyfold/plane/turns/turn_client_shell.hpp"

namespace tallyfold::streams {

struct lookup_result {
    /// `undecided` when the time limit was reached.
    lookup_state state = lookup_state::undecided;
    /// Set when found.
    stream_origin origin;
    /// Number of stores that were to answer, and of those that did not.
    std::size_t stores = 0;
    std::size_t unanswered = 0;
};

class origin_client {
  public:
    /// @param stores must outlive the client
    origin_client(net::node_process& process, turns::turn_client& stores);

    /// Tells a majority of the group's stores the origin of a stream, without waiting for them.
    /// Requires stores.has_store_table().
    /// @param lifetime time for which the caller may resume the stream
    void record(const stream_id& stream, const stream_origin& origin, duration lifetime);
    /// Looks up the origin of a stream. Requires stores.has_store_table().
    asio::awaitable<lookup_result> find(stream_id stream, instant deadline);

  private:
    struct pending_lookup {
        pending_lookup(asio::io_context& loop, std::set<turns::store_id> stores, std::size_t copies)
            : timer(loop), lookup(std::move(stores), copies) {}
        asio::steady_timer timer;
        origin_lookup lookup;
    };

    /// Sends the query to the stores that have not answered.
    void send_query(const origin_query& query, pending_lookup& pending);
    void on_answer(const origin_answer& answer);

    net::node_process& process_;
    turns::turn_client& stores_;
    std::map<query_number, std::shared_ptr<pending_lookup>> lookups_;
    query_number next_query_ = 1;
};

}  // namespace tallyfold::streams
