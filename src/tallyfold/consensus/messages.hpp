#pragma once
/// @file
/// Types of the replicated log: entries, membership, and the messages between replicas.

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "tallyfold/base/common/types.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::consensus {

/// Identity of a replica, generated at random with its data folder and stored there. A replica that
/// has lost its disk thus gets a new identity.
using replica_id = std::uint64_t;
using term_number = std::uint64_t;
using log_index = std::uint64_t;

constexpr replica_id no_replica = 0;

enum class entry_kind : std::uint8_t { command, membership, no_operation };

struct log_entry {
    term_number term = 0;
    log_index index = 0;
    entry_kind kind = entry_kind::no_operation;
    std::string payload;

    bool operator==(const log_entry&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(term, index, kind, payload);
    }
};

struct member {
    node_name node;
    /// A learner receives the log but has no vote.
    bool learner = false;

    bool operator==(const member&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, learner);
    }
};

/// Voters and learners of a group.
struct membership {
    std::map<replica_id, member> members;

    [[nodiscard]] bool is_voter(replica_id id) const {
        const auto found = members.find(id);
        return found != members.end() && !found->second.learner;
    }
    [[nodiscard]] std::size_t voter_count() const {
        std::size_t count = 0;
        for (const auto& [id, member] : members) {
            count += member.learner ? 0 : 1;
        }
        return count;
    }
    [[nodiscard]] std::size_t quorum() const { return voter_count() / 2 + 1; }

    bool operator==(const membership&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(members);
    }
};

/// Raft's persistent term and vote, which must be durable before a message depends on them.
struct hard_state {
    term_number term = 0;
    replica_id vote = no_replica;

    bool operator==(const hard_state&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(term, vote);
    }
};

/// State of the group's state machine after applying `index`; replaces the log up to there.
struct snapshot {
    log_index index = 0;
    term_number term = 0;
    membership members;
    std::string state;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(index, term, members, state);
    }
};

struct vote_request {
    /// A pre-vote checks whether a vote would be granted, without changing state.
    bool pre_vote = false;
    log_index last_index = 0;
    term_number last_term = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(pre_vote, last_index, last_term);
    }
};

struct vote_reply {
    bool pre_vote = false;
    bool granted = false;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(pre_vote, granted);
    }
};

struct append_request {
    log_index previous_index = 0;
    term_number previous_term = 0;
    log_index commit_index = 0;
    /// Number of the leader's heartbeat round, echoed in the reply (read index).
    std::uint64_t round = 0;
    std::vector<log_entry> entries;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(previous_index, previous_term, commit_index, round, entries);
    }
};

struct append_reply {
    bool accepted = false;
    /// If accepted, last index known to match; otherwise a hint for the index to match next.
    log_index match_index = 0;
    std::uint64_t round = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(accepted, match_index, round);
    }
};

struct snapshot_request {
    std::uint64_t round = 0;
    snapshot contents;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(round, contents);
    }
};

/// Request of a follower for the leader's commit index.
struct read_index_request {
    /// Request identifier, echoed in the reply.
    std::uint64_t request_id = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(request_id);
    }
};

/// Sent after a quorum has confirmed, since the request arrived, that its receiver is the leader.
struct read_index_reply {
    std::uint64_t request_id = 0;
    /// A replica that has applied the log up to here has everything that was committed before the
    /// request.
    log_index commit_index = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(request_id, commit_index);
    }
};

using message_body = std::variant<vote_request, vote_reply, append_request, append_reply,
                                  snapshot_request, read_index_request, read_index_reply>;

/// Number of message types in format v1, which has no read index messages.
constexpr std::size_t kinds_in_first_format = 5;

/// Message between two replicas of a group.
struct replica_message {
    group_id group = 0;
    replica_id from = no_replica;
    replica_id to = no_replica;
    /// Node that hosts `to`, the address for the transport.
    node_name to_node;
    term_number term = 0;
    message_body body;
    template <class Archive>
    void serialize(Archive& archive) {
        if (archive.format() < protocol::format_version::v2 &&
            body.index() >= kinds_in_first_format) {
            protocol::report_unsupported(archive, "a read index");
        }
        archive(group, from, to, to_node, term, body);
    }
};

}  // namespace tallyfold::consensus
