#pragma once
/// @file
/// State machine of one journal group: the leases and the programs of its shards.

#include <map>
#include <string>
#include <string_view>

#include "tallyfold/journal/shard_state.hpp"

namespace tallyfold::journal {

struct shard_entry {
    shard_lease lease;
    shard_state programs;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(lease, programs);
    }
};

class journal_state_machine {
  public:
    /// Applies a committed command; deterministic on every replica.
    journal_error apply(std::string_view encoded_command);
    [[nodiscard]] std::string save() const;
    void restore(std::string_view state);

    [[nodiscard]] const std::map<shard_id, shard_entry>& shards() const { return shards_; }
    /// The lease of a shard; an epoch of 0 when it was never assigned.
    [[nodiscard]] shard_lease lease_of(shard_id shard) const;

  private:
    journal_error apply_command(const assign_shard& command);
    journal_error apply_command(const release_shard& command);
    journal_error apply_command(const owner_command& command);

    std::map<shard_id, shard_entry> shards_;
};

}  // namespace tallyfold::journal
