#pragma once
/// @file
/// Deterministic state machine for the programs of one shard.
///
/// The control replicas apply committed commands to it; the shard's owner applies the same
/// commands to its own copy after they are committed. It enforces the rules that must hold for
/// every sender: budget, order of sequence numbers, at-most-once execution. The caller checks the
/// lease epoch first (journal_state_machine).

#include <deque>
#include <map>

#include "tallyfold/program_api/journal/types.hpp"

namespace tallyfold::journal {

class shard_state {
  public:
    /// Applies a change. Idempotent: reapplying an applied change returns `none`.
    journal_error apply(const program_change& change);

    [[nodiscard]] const program_record* find(const program_id& id) const;
    [[nodiscard]] const std::map<program_id, program_record>& programs() const { return programs_; }

    template <class Archive>
    void serialize(Archive& archive) {
        archive(programs_, closed_order_);
    }

  private:
    journal_error apply_change(const open_program& change);
    journal_error apply_change(const begin_attempt& change);
    journal_error apply_change(const fail_attempt& change);
    journal_error apply_change(const end_call& change);
    journal_error apply_change(const close_program& change);
    journal_error check_new_attempt(const program_record& program,
                                    const begin_attempt& change) const;
    program_record* find_mutable(const program_id& id);
    program_record& root_of(program_record& program);
    void settle_reservation(program_record& program, call_record& call, token_count charged);
    void mark_closed(program_record& program, const std::string& reason);
    void evict_oldest_closed();

    std::map<program_id, program_record> programs_;
    std::deque<program_id> closed_order_;
};

/// Root part of a program identifier. Sub-agents belong to the shard of their root.
program_id root_program_id(const program_id& id);

/// Shard that the program belongs to.
shard_id shard_of(const program_id& id, std::uint32_t shard_count);

/// Journal group of a shard's programs. The group of the configuration precedes these groups.
group_id group_of_shard(shard_id shard, std::uint32_t journal_groups);

}  // namespace tallyfold::journal
