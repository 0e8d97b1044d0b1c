#pragma once
/// @file
/// Settings of a directory node's core, and the initial state of a new directory. Owns nothing.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/consensus/persistence.hpp"
#include "tallyfold/consensus/replica_fsm.hpp"
#include "tallyfold/plane/directory/member_planner.hpp"
#include "tallyfold/plane/directory/store_view.hpp"

namespace tallyfold::directory {

struct directory_settings {
    /// "ip:port" at which other nodes reach this one; its name in the membership.
    node_name address;
    /// Addresses ("ip:port") of the directory nodes to contact at startup.
    std::vector<node_name> seeds;
    /// True only on the first start of the whole system.
    bool first_start = false;
    /// Silence of the leader after which a follower starts an election; five heartbeat intervals.
    duration election_timeout = std::chrono::milliseconds(400);
    /// Election timeout immediately after a start, when there is no leader.
    duration initial_election_timeout = std::chrono::milliseconds(120);
    duration heartbeat_interval = std::chrono::milliseconds(80);
    /// Number of entries, or bytes of them, after which a snapshot is taken. Limits what a restart
    /// has to read.
    consensus::log_index snapshot_interval = 64;
    std::size_t snapshot_bytes = 1U << 20U;
    /// Number of uncompressed bytes of entries after which a snapshot is taken. Limits the log on
    /// disk and the memory that mirrors it. Three configurations of 6,000 routes, 2.4 MB each.
    std::size_t snapshot_disk_bytes = 8U << 20U;
    member_planner_settings members;
    store_planner_settings stores;
    /// Seed of the random parts of election timeouts.
    std::uint64_t seed = 0;
};

/// Returns the settings of the replica of the directory's log.
[[nodiscard]] consensus::replica_settings replica_settings_of(const directory_settings& settings,
                                                              consensus::replica_id identity);

/// Identity of a seed's replica when the directory is created.
[[nodiscard]] consensus::replica_id first_identity(const node_name& address);

/// State of a new directory: every seed is a voter under the identity derived from its address.
[[nodiscard]] consensus::recovered_state initial_state(const std::vector<node_name>& seeds);

/// True when this replica creates a new directory with the other seeds: the system's first start,
/// with an empty disk. Otherwise it continues from its disk or asks to join.
[[nodiscard]] bool creates_directory(const directory_settings& settings,
                                     consensus::replica_id identity,
                                     const consensus::recovered_state& recovered);

}  // namespace tallyfold::directory
