#pragma once
/// @file
/// Interface of the durable storage of replicas, implemented by log_store and by the simulated disk
/// in sim/.

#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/base/storage/storage_error.hpp"
#include "tallyfold/consensus/messages.hpp"
#include "tallyfold/consensus/replica_fsm.hpp"

namespace tallyfold::consensus {

/// Write of one group in a batch. The batch becomes durable as a whole or not at all.
struct group_write {
    group_id group = 0;
    std::optional<hard_state> state;
    /// Replaces the log up to its index, or the whole log if that lacks the entry at its index and
    /// term.
    std::optional<snapshot> base;
    /// Replace the log from the index of the first entry on.
    std::vector<log_entry> entries;
};

using storage::storage_error;
using storage::storage_failure;

/// Contents of a node's data folder at start.
struct recovered_node {
    replica_id identity = no_replica;
    std::map<group_id, recovered_state> groups;
    /// Bytes of a torn last record that were truncated.
    std::uint64_t truncated_bytes = 0;
};

/// In-memory copy of a group's durable state, used for recovery and compaction.
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
    /// Writes and syncs the batch. After an error all further calls fail.
    virtual tl::expected<void, storage_error> write(const std::vector<group_write>& batch) = 0;
};

}  // namespace tallyfold::consensus
