#pragma once
/// @file
/// Requests to a directory_core that are not yet answered: commands by log index, reads and proofs
/// by the number under which the replica confirms them. Owns those entries. Pure.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "tallyfold/consensus/replica_fsm.hpp"
#include "tallyfold/plane/directory/directory_work.hpp"

namespace tallyfold::directory {

/// Token of the leader's own commands, which need no answer.
constexpr request_token leader_command_token = 0;

class pending_requests {
  public:
    using read_number = std::uint64_t;

    /// Returns the number of the next read or proof.
    [[nodiscard]] read_number next_read() { return ++last_read_; }

    /// Records a command that this leader appended to the log.
    void add_command(consensus::log_index index, request_token token, consensus::term_number term) {
        commands_[index] = {token, term, {}};
    }
    /// Records an order to retire the node's store that this leader appended to the log.
    void add_retirement(consensus::log_index index, request_token token,
                        consensus::term_number term, const node_name& node) {
        commands_[index] = {token, term, node};
    }
    void add_read(read_number number, request_token token) { reads_[number] = token; }
    void add_proof(read_number number, request_token token) { proofs_[number] = token; }

    /// True while one of the leader's own commands is not yet applied.
    [[nodiscard]] bool has_own_command() const;
    /// Nodes of the orders to retire a store that are not yet applied.
    [[nodiscard]] std::set<node_name> nodes_to_retire() const;

    /// Handles an applied entry.
    /// @return the answer to the request for that index, without the leader's address: `done`, or
    /// `unknown` when the entry is another leader's; empty when nothing waits for it
    [[nodiscard]] std::optional<directory_answer> on_applied(consensus::log_index index,
                                                             consensus::term_number term);
    /// Removes a read.
    /// @return its token; empty for a proof or an unknown number
    [[nodiscard]] std::optional<request_token> take_read(read_number number);
    /// Removes a request for a proof.
    /// @return its token; empty for a read or an unknown number
    [[nodiscard]] std::optional<request_token> take_proof(read_number number);
    /// Removes all commands after leadership was lost.
    /// @return the tokens of those that need an answer
    [[nodiscard]] std::vector<request_token> take_commands();

  private:
    struct pending_command {
        request_token token = leader_command_token;
        consensus::term_number term = 0;
        /// Node of an order to retire its store; empty for other commands.
        node_name retired_node;
    };

    std::map<consensus::log_index, pending_command> commands_;
    std::map<read_number, request_token> reads_;
    std::map<read_number, request_token> proofs_;
    read_number last_read_ = 0;
};

}  // namespace tallyfold::directory
