#pragma once
/// @file
/// Replicated state machine of one journal group: the leases and programs of its shards.

#include <map>
#include <string>
#include <string_view>

#include "tallyfold/program_api/journal/shard_state.hpp"

namespace tallyfold::journal {

struct shard_entry {
    shard_lease lease;
    /// Log index of the latest lease change; nodes receive only changes newer than their version.
    std::uint64_t lease_changed_at = 0;
    shard_state programs;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(lease, lease_changed_at, programs);
    }
};

class journal_state_machine {
  public:
    /// Applies the command committed at log index `index`. Deterministic on all replicas.
    journal_error apply(std::string_view encoded_command, std::uint64_t index);
    [[nodiscard]] std::string save() const;
    void restore(std::string_view state);

    [[nodiscard]] const std::map<shard_id, shard_entry>& shards() const { return shards_; }
    /// Log index of the newest lease change; 0 if there is none.
    [[nodiscard]] std::uint64_t lease_version() const { return lease_version_; }
    /// Lease of `shard`; its epoch is 0 if the shard was never assigned.
    [[nodiscard]] shard_lease lease_of(shard_id shard) const;

  private:
    journal_error apply_command(const assign_shard& command, std::uint64_t index);
    journal_error apply_command(const release_shard& command, std::uint64_t index);
    journal_error apply_command(const owner_command& command, std::uint64_t index);
    void record_lease_change(shard_entry& entry, std::uint64_t index);

    std::map<shard_id, shard_entry> shards_;
    std::uint64_t lease_version_ = 0;
};

}  // namespace tallyfold::journal
