#pragma once
/// @file
/// What replicas ask of durable storage. Implemented by log_store, on files, and by a simulated
/// disk in sim/.

#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/base/storage/storage_error.hpp"
#include "tallyfold/consensus/messages.hpp"
#include "tallyfold/consensus/replica_fsm.hpp"

namespace tallyfold::consensus {

/// One group's part of a batch; the batch is durable as a whole or not at all.
struct group_write {
    group_id group = 0;
    std::optional<hard_state> state;
    /// Replaces the log up to its index, and the whole log when the log does not hold its entry.
    std::optional<snapshot> base;
    /// The first index tells from where the log is overwritten.
    std::vector<log_entry> entries;
};

using storage::storage_error;
using storage::storage_failure;

/// Everything a node finds in its folder at start.
struct recovered_node {
    replica_id identity = no_replica;
    std::map<group_id, recovered_state> groups;
    /// Bytes of a half-written last record that were cut off.
    std::uint64_t truncated_bytes = 0;
};

/// In-memory picture of one group's durable state, used for recovery and for compaction.
class durable_group {
  public:
    void apply(const group_write& write);
    [[nodiscard]] const recovered_state& state() const { return state_; }

  private:
    recovered_state state_;
};

class persistence {
  public:
    virtual ~persistence() = default;
    /// Returns once the batch is synced. After an error every further call fails.
    virtual tl::expected<void, storage_error> write(const std::vector<group_write>& batch) = 0;
};

}  // namespace tallyfold::consensus
