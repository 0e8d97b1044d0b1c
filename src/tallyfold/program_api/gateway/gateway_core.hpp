#pragma once
/// @file
/// The gateway as pure logic: finds the owner of a program, forwards a caller's request, relays
/// the answer whole, and goes on at another owner when the first one is gone.

#include <map>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/program_api/membership/control_session.hpp"
#include "tallyfold/program_api/transport/messages.hpp"

namespace tallyfold::gateway {

/// Names one caller's request inside this gateway.
using request_token = std::uint64_t;

struct gateway_settings {
    node_name node;
    std::string address;
    std::string zone;
    std::vector<node_name> control_nodes;
    std::uint32_t shard_count = 64;
    /// Requests under way at most; more are refused at once.
    std::size_t request_limit = 4096;
    /// How long a request whose owner is gone may look for the next one.
    duration failover_limit = std::chrono::milliseconds(8000);
    duration heartbeat_interval = std::chrono::milliseconds(400);
    duration configuration_lease = std::chrono::milliseconds(3000);
    /// Drawn anew at each start: a reply to an earlier life must not match a request of this one.
    std::uint64_t seed = 0;
};

/// New pieces of a streamed answer, in order and without repeats.
struct client_pieces {
    request_token token = 0;
    std::vector<std::string> pieces;
};

struct client_answer {
    request_token token = 0;
    journal::outcome result;
};

struct gateway_output {
    std::vector<protocol::outbound_message> messages;
    std::vector<client_pieces> pieces;
    std::vector<client_answer> answers;
};

struct gateway_counters {
    std::uint64_t requests = 0;
    std::uint64_t answers = 0;
    std::uint64_t refusals = 0;
    std::uint64_t failovers = 0;
};

class gateway_core {
  public:
    explicit gateway_core(gateway_settings settings);

    /// Takes a caller's request; every token gets exactly one client_answer.
    void submit(request_token token, protocol::scheduler_call call, instant now);
    /// The caller has gone; its request goes on at the owner, and its answer is dropped here.
    void forget(request_token token);
    void receive(const node_name& from, const protocol::internal_message& message, instant now);
    /// The connection to a node broke: what was forwarded there may be lost.
    void peer_lost(const node_name& node, instant now);
    void tick(instant now);
    /// Starts a planned stop: new requests are refused, the others are finished.
    void drain() { draining_ = true; }
    [[nodiscard]] bool drained() const { return draining_ && pending_.empty(); }

    gateway_output take_output();
    [[nodiscard]] const gateway_counters& counters() const { return counters_; }
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }
    [[nodiscard]] const membership::control_session& session() const { return session_; }
    /// True when the gateway can serve: it has a current configuration and knows owners.
    [[nodiscard]] bool ready(instant now) const;

  private:
    struct pending_request {
        request_token token = 0;
        protocol::scheduler_call call;
        program_id program;
        node_name owner;
        protocol::correlation_id correlation = 0;
        /// True once it was handed to any owner.
        bool forwarded = false;
        /// True when an owner that had it went away without saying that it did not run.
        bool maybe_ran = false;
        bool searching = false;
        std::vector<std::string> delivered;
        instant search_started{};
        instant next_try{};
    };

    void forward(pending_request& request, instant now);
    void search_again(pending_request& request, instant now);
    void give_up(pending_request& request);
    void on_pieces(const protocol::answer_pieces& pieces);
    void on_reply(const protocol::scheduler_reply& reply, instant now);
    void flush_rest(pending_request& request, const journal::outcome& result);
    void on_leases_changed(instant now);
    void answer(request_token token, journal::outcome result);
    [[nodiscard]] node_name owner_of(const program_id& program) const;
    pending_request* find(protocol::correlation_id correlation);

    gateway_settings settings_;
    membership::control_session session_;
    std::map<request_token, pending_request> pending_;
    std::map<protocol::correlation_id, request_token> by_correlation_;
    protocol::correlation_id next_correlation_;
    bool draining_ = false;
    gateway_counters counters_;
    gateway_output output_;
};

}  // namespace tallyfold::gateway
