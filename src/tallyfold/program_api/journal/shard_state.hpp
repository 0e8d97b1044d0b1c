#pragma once
/// @file
/// The programs of one shard, as a deterministic state machine.
///
/// The control replicas apply committed commands to it, and the owner keeps a copy to which it
/// applies the same commands once they are committed. Every rule that must hold whoever speaks
/// (budget, order of sequence numbers, at most once) is checked here, under the lease epoch.

#include <deque>
#include <map>

#include "tallyfold/program_api/journal/types.hpp"

namespace tallyfold::journal {

class shard_state {
  public:
    /// Applies a change. A repeated change that was applied before gives `none` again.
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
    void settle(program_record& program, call_record& call, token_count charged);
    void close_one(program_record& program, const std::string& reason);
    void drop_oldest_closed();

    std::map<program_id, program_record> programs_;
    std::deque<program_id> closed_order_;
};

/// Root part of a program's identifier: sub-agents live in their root's shard.
program_id root_of_identifier(const program_id& id);

/// The shard that a program belongs to.
shard_id shard_of(const program_id& id, std::uint32_t shard_count);

/// The group that a shard's programs are journalled in; the configuration's group comes first.
group_id group_of_shard(shard_id shard, std::uint32_t journal_groups);

}  // namespace tallyfold::journal
