#pragma once
/// @file
/// What a directory_core hands to its shell: messages, the write to make durable, answers, proofs
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

/// Matches an answer, or a proof, to what the shell asked for; chosen by the shell, above 0.
using request_token = std::uint64_t;

enum class answer_kind : std::uint8_t {
    /// The command is committed and applied, or the read is confirmed.
    done,
    /// This node doesn't lead; `leader` says who does, when known.
    not_leader,
    /// Leadership ended meanwhile: whether the command is taken isn't known.
    unknown,
};

struct directory_answer {
    request_token token = 0;
    answer_kind kind = answer_kind::unknown;
    /// Address of the node that leads; empty when none is known.
    node_name leader;
};

/// Whether this node's state was the newest when it was asked to prove that.
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
/// call persisted(), send `after_sync`, hand out `answers` and `proofs`.
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
