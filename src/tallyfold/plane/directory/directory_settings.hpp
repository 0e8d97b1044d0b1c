#pragma once
/// @file
/// Settings of a directory node's pure logic, and how a new directory is formed from them. Owns
/// nothing.

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
    /// "ip:port" where other nodes reach this one; its name in the membership.
    node_name address;
    /// Addresses ("ip:port") at which the directory may be found at the start.
    std::vector<node_name> seeds;
    /// True on the very first start of the whole system.
    bool first_start = false;
    /// Silence of the leader after which a follower stands for election: five heartbeats. Chosen,
    /// not measured.
    duration election_timeout = std::chrono::milliseconds(400);
    /// The same right after a start, when nobody leads. Chosen, not measured.
    duration first_election_timeout = std::chrono::milliseconds(120);
    duration heartbeat_interval = std::chrono::milliseconds(80);
    /// A snapshot is taken after so many entries, or so many bytes of them. Chosen, not measured:
    /// a restart reads what came after the last one.
    consensus::log_index snapshot_interval = 64;
    std::size_t snapshot_bytes = 1U << 20U;
    /// The same by their bytes on disk, where entries lie without compression, and in the memory
    /// that mirrors it. Chosen, not measured: three configurations with 6,000 routes, of 2.4 MB.
    std::size_t snapshot_disk_bytes = 8U << 20U;
    member_planner_settings members;
    store_planner_settings stores;
    /// Of the random parts of election timeouts.
    std::uint64_t seed = 0;
};

/// What the replica of the directory's log goes by.
[[nodiscard]] consensus::replica_settings replica_settings_of(const directory_settings& settings,
                                                              consensus::replica_id identity);

/// The identity that a seed's replica has when the directory is first made.
[[nodiscard]] consensus::replica_id first_identity(const node_name& address);

/// The state of a new directory: every seed votes under the identity that its address gives.
[[nodiscard]] consensus::recovered_state first_state(const std::vector<node_name>& seeds);

/// True when this replica forms a new directory together with the other seeds: the system's first
/// start, with nothing on the disk. Otherwise it goes by its disk, or asks to join.
[[nodiscard]] bool forms_directory(const directory_settings& settings,
                                   consensus::replica_id identity,
                                   const consensus::recovered_state& recovered);

}  // namespace tallyfold::directory
