#pragma once
/// @file
/// What the shell has asked of a directory_core and what the log hasn't answered yet: commands by
/// their place in the log, reads and proofs by the number under which the replica confirms them.
/// Owns those entries. Pure.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "tallyfold/consensus/replica_fsm.hpp"
#include "tallyfold/plane/directory/directory_work.hpp"

namespace tallyfold::directory {

/// Stands for the leader's own commands, for which nobody waits.
constexpr request_token own_command = 0;

class pending_requests {
  public:
    using read_number = std::uint64_t;

    /// A number for the next read or proof.
    [[nodiscard]] read_number next_read() { return ++last_read_; }

    /// This leader has put a command into the log at `index`, in `term`.
    void add_command(consensus::log_index index, request_token token, consensus::term_number term) {
        commands_[index] = {token, term};
    }
    void add_read(read_number number, request_token token) { reads_[number] = token; }
    void add_proof(read_number number, request_token token) { proofs_[number] = token; }

    /// True while one of the leader's own commands isn't applied.
    [[nodiscard]] bool has_own_command() const;

    /// The entry at `index` is applied. @return the answer to whoever waits for it, without the
    /// leader: done, or unknown when another leader's entry took the place
    [[nodiscard]] std::optional<directory_answer> on_applied(consensus::log_index index,
                                                             consensus::term_number term);
    /// Ends a read. @return its token; nothing for a proof or an unknown number
    [[nodiscard]] std::optional<request_token> take_read(read_number number);
    /// Ends a question for proof. @return its token; nothing for a read or an unknown number
    [[nodiscard]] std::optional<request_token> take_proof(read_number number);
    /// Leadership is lost: forgets all commands. @return the tokens of those that somebody waits
    /// for
    [[nodiscard]] std::vector<request_token> take_commands();

  private:
    struct pending_command {
        request_token token = own_command;
        consensus::term_number term = 0;
    };

    std::map<consensus::log_index, pending_command> commands_;
    std::map<read_number, request_token> reads_;
    std::map<read_number, request_token> proofs_;
    read_number last_read_ = 0;
};

}  // namespace tallyfold::directory
