#pragma once
/// @file
/// Messages between the system's processes, with their serialization.

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "tallyfold/base/common/types.hpp"
#include "tallyfold/consensus/messages.hpp"
#include "tallyfold/program_api/configuration/types.hpp"
#include "tallyfold/program_api/journal/types.hpp"

namespace tallyfold::protocol {

/// Matches a reply to its request, within one pair of nodes.
using correlation_id = std::uint64_t;

enum class node_role : std::uint8_t { gateway, scheduler, control };

// --- nodes and control ---------------------------------------------------------------------

/// Version of a node's copy of one journal group's lease table.
struct known_leases {
    /// Log index of the newest lease change in the copy.
    consensus::log_index version = 0;
    std::uint64_t schedulers_hash = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(version, schedulers_hash);
    }
};

/// Sent by gateways and schedulers to every control node; the group leaders reply.
struct node_heartbeat {
    node_name node;
    node_role role = node_role::gateway;
    /// Address for internal messages, "ip:port".
    std::string address;
    std::string zone;
    bool draining = false;
    /// Returned in the configuration update, which was confirmed after this heartbeat was sent.
    std::uint64_t number = 0;
    configuration::configuration_version known_configuration = 0;
    std::map<group_id, known_leases> leases;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, role, address, zone, draining, number, known_configuration, leases);
    }
};

/// From the leader of the configuration group, after it confirmed its leadership. Applying it
/// brings the node to the committed version.
struct configuration_update {
    std::uint64_t heartbeat_number = 0;
    configuration::configuration_delta delta;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(heartbeat_number, delta);
    }
};

struct scheduler_address {
    node_name node;
    std::string address;

    bool operator==(const scheduler_address&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, address);
    }
};

/// From the leader of a journal group, when the node's copy of the lease table is outdated.
struct lease_update {
    group_id group = 0;
    known_leases version;
    std::map<shard_id, journal::shard_lease> leases;
    std::vector<scheduler_address> schedulers;
    /// Shards that their holder should finish and release, so that they can be moved.
    std::vector<shard_id> hand_over;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(group, version, leases, schedulers, hand_over);
    }
};

/// The only group whose lease updates include the schedulers.
constexpr group_id directory_group = 1;

/// From the leader of a journal group, after it confirmed its leadership. It received the
/// scheduler's heartbeat, so it does not reassign the scheduler's shards before scheduler_timeout.
struct lease_confirmation {
    group_id group = 0;
    std::uint64_t heartbeat_number = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(group, heartbeat_number);
    }
};

/// Asks the leader to append a journal command.
struct journal_append {
    group_id group = 0;
    correlation_id correlation = 0;
    /// Encoded journal::journal_command.
    std::string command;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(group, correlation, command);
    }
};

struct journal_append_reply {
    group_id group = 0;
    correlation_id correlation = 0;
    /// False when this replica is not, or no longer, the leader: the outcome is unknown and the
    /// request has to be sent again.
    bool committed = false;
    journal::journal_error result = journal::journal_error::none;
    node_name leader;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(group, correlation, committed, result, leader);
    }
};

struct shard_read {
    group_id group = 0;
    shard_id shard = 0;
    lease_epoch epoch = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(group, shard, epoch);
    }
};

struct shard_contents {
    group_id group = 0;
    shard_id shard = 0;
    lease_epoch epoch = 0;
    /// Encoded journal::shard_state.
    std::string state;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(group, shard, epoch, state);
    }
};

/// Sent by a control node that is not a member yet (new, or its disk was lost), to join.
struct join_request {
    node_name node;
    consensus::replica_id replica = consensus::no_replica;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, replica);
    }
};

// --- gateways and schedulers ---------------------------------------------------------------

struct open_call {
    journal::open_program program;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(program);
    }
};

struct program_call {
    program_id program;
    sequence_number sequence = 0;
    std::string request_identity;
    std::uint64_t request_hash = 0;
    journal::call_kind kind = journal::call_kind::model;
    bool repeatable = true;
    /// Number of this submission of the request, from 1; not part of the request's hash. A
    /// rejection of one submission says nothing about an earlier one that may still be running.
    std::uint32_t submission = 1;
    /// True when an earlier submission of this request got no answer, or ran "unknown".
    bool unanswered = false;
    /// Model calls: messages to append to the history.
    std::vector<journal::message> messages;
    token_count max_tokens = 0;
    /// App and tool calls: the service's operation and its argument.
    std::string operation;
    std::string argument;
    /// Pieces of the answer that the gateway has already relayed (after a change of owner).
    std::vector<std::string> delivered;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(program, sequence, request_identity, request_hash, kind, repeatable, submission,
                unanswered, messages, max_tokens, operation, argument, delivered);
    }
};

struct close_call {
    program_id program;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(program);
    }
};

/// Reads a program's state and the history of its calls.
struct inspect_call {
    program_id program;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(program);
    }
};

using scheduler_call = std::variant<open_call, program_call, close_call, inspect_call>;

struct scheduler_request {
    correlation_id correlation = 0;
    scheduler_call call;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(correlation, call);
    }
};

/// Pieces of a streamed answer; `offset` is the index of the first of them in the answer.
struct answer_pieces {
    correlation_id correlation = 0;
    std::uint64_t offset = 0;
    std::vector<std::string> pieces;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(correlation, offset, pieces);
    }
};

struct scheduler_reply {
    correlation_id correlation = 0;
    journal::outcome result;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(correlation, result);
    }
};

using internal_message =
    std::variant<consensus::replica_message, node_heartbeat, configuration_update, lease_update,
                 journal_append, journal_append_reply, shard_read, shard_contents, join_request,
                 scheduler_request, answer_pieces, scheduler_reply, lease_confirmation>;

/// A message and its destination.
struct outbound_message {
    node_name to;
    internal_message message;
};

}  // namespace tallyfold::protocol
