#pragma once
/// @file
/// Output of a directory_core for its shell: messages, the write to make durable, answers, proofs
/// and events. Plain values.

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "tallyfold/base/logging/event_catalogue.hpp"
#include "tallyfold/consensus/messages.hpp"
#include "tallyfold/consensus/persistence.hpp"
#include "tallyfold/plane/directory/messages.hpp"

namespace tallyfold::directory {

/// Identifies a request of the shell in its answer or proof; chosen by the shell, above 0.
using request_token = std::uint64_t;

enum class answer_kind : std::uint8_t {
    /// The command is committed and applied, or the read is confirmed.
    done,
    /// This node is not the leader; `leader` names the leader when known.
    not_leader,
    /// Leadership ended in the meantime: the command may or may not be committed.
    unknown,
};

struct directory_answer {
    request_token token = 0;
    answer_kind kind = answer_kind::unknown;
    /// Address of the leader; empty when unknown.
    node_name leader;
};

/// Result of a request to prove that this node's state was the newest at the time of the request.
struct directory_proof {
    request_token token = 0;
    bool proved = false;
};

struct addressed_message {
    /// "ip:port"; empty when no address of the replica is known.
    node_name to;
    std::variant<consensus::replica_message, join_request> body;
};

/// Work for the shell, in this order: log `events`, send `before_sync`, make `write` durable and
/// call persisted(), send `after_sync`, deliver `answers` and `proofs`.
struct directory_work {
    std::vector<addressed_message> before_sync;
    std::optional<consensus::group_write> write;
    std::vector<addressed_message> after_sync;
    std::vector<directory_answer> answers;
    std::vector<directory_proof> proofs;
    std::vector<logging::event_record> events;

    [[nodiscard]] bool empty() const {
        return before_sync.empty() && !write && after_sync.empty() && answers.empty() &&
               proofs.empty() && events.empty();
    }
};

}  // namespace tallyfold::directory
