#pragma once
/// @file
/// State machine of one journal group: the leases and the programs of its shards.

#include <map>
#include <string>
#include <string_view>

#include "tallyfold/program_api/journal/shard_state.hpp"

namespace tallyfold::journal {

struct shard_entry {
    shard_lease lease;
    /// Log index of the lease's latest change, so that nodes are sent only what they lack.
    std::uint64_t lease_changed_at = 0;
    shard_state programs;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(lease, lease_changed_at, programs);
    }
};

class journal_state_machine {
  public:
    /// Applies the command committed at `index`; deterministic on every replica.
    journal_error apply(std::string_view encoded_command, std::uint64_t index);
    [[nodiscard]] std::string save() const;
    void restore(std::string_view state);

    [[nodiscard]] const std::map<shard_id, shard_entry>& shards() const { return shards_; }
    /// Log index of the newest lease change; 0 before the first.
    [[nodiscard]] std::uint64_t lease_version() const { return lease_version_; }
    /// The lease of a shard; an epoch of 0 when it was never assigned.
    [[nodiscard]] shard_lease lease_of(shard_id shard) const;

  private:
    journal_error apply_command(const assign_shard& command, std::uint64_t index);
    journal_error apply_command(const release_shard& command, std::uint64_t index);
    journal_error apply_command(const owner_command& command, std::uint64_t index);
    void note_lease_change(shard_entry& entry, std::uint64_t index);

    std::map<shard_id, shard_entry> shards_;
    std::uint64_t lease_version_ = 0;
};

}  // namespace tallyfold::journal
