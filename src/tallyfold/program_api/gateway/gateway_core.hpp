#pragma once
/// @file
/// Logic of the gateway without I/O: routes a caller's request to the program's owner, relays the
/// answer, and fails over to another owner when the first one is lost.

#include <map>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/program_api/membership/control_session.hpp"
#include "tallyfold/program_api/transport/messages.hpp"

namespace tallyfold::gateway {

/// Identifies a caller's request within this gateway.
using request_token = std::uint64_t;

struct gateway_settings {
    node_name node;
    std::string address;
    std::string zone;
    std::vector<node_name> control_nodes;
    std::uint32_t shard_count = 64;
    /// Maximum number of pending requests; further ones are rejected at once.
    std::size_t request_limit = 4096;
    /// Time limit for finding another owner after the first one was lost.
    duration failover_limit = std::chrono::milliseconds(8000);
    duration heartbeat_interval = std::chrono::milliseconds(400);
    duration configuration_lease = std::chrono::milliseconds(3000);
    /// Random at each start, so that a reply to a previous run's request doesn't match one of this
    /// run.
    std::uint64_t seed = 0;
};

/// New pieces of a streamed answer, in order and without duplicates.
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

    /// Accepts a caller's request. Every token gets exactly one client_answer, unless
    /// drop_request() is called for it.
    void submit(request_token token, protocol::scheduler_call call, instant now);
    /// Drops a request whose caller disconnected. The owner still finishes it.
    void drop_request(request_token token);
    void receive(const node_name& from, const protocol::internal_message& message, instant now);
    /// Handles a lost connection to a node: requests forwarded to it may be lost.
    void peer_lost(const node_name& node, instant now);
    void tick(instant now);
    /// Starts a graceful stop: new requests are rejected, pending ones are finished.
    void drain() { draining_ = true; }
    [[nodiscard]] bool drained() const { return draining_ && pending_.empty(); }

    gateway_output take_output();
    [[nodiscard]] const gateway_counters& counters() const { return counters_; }
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }
    [[nodiscard]] const membership::control_session& session() const { return session_; }
    /// True when requests can be served: the configuration is current and schedulers are known.
    [[nodiscard]] bool ready(instant now) const;

  private:
    struct pending_request {
        request_token token = 0;
        protocol::scheduler_call call;
        program_id program;
        node_name owner;
        protocol::correlation_id correlation = 0;
        /// True once the request was sent to an owner.
        bool forwarded = false;
        /// True when an owner was lost, or replaced, that may have run the request.
        bool maybe_ran = false;
        bool searching_owner = false;
        std::vector<std::string> delivered;
        instant search_started{};
        instant next_try{};
    };

    void forward(pending_request& request, instant now);
    void start_owner_search(pending_request& request, instant now);
    void fail_without_owner(pending_request& request);
    void on_pieces(const protocol::answer_pieces& pieces);
    void on_reply(const protocol::scheduler_reply& reply, instant now);
    void send_missing_text(pending_request& request, const journal::outcome& result);
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
