#pragma once
/// @file
/// Reports stalls of the directory's leader: no entry of its term is committed, changes of store
/// groups remain open, groups cannot be repaired, or voters are silent. Owns the times of the
/// current stall and of the next report. Pure.

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/logging/event_catalogue.hpp"
#include "tallyfold/consensus/replica_fsm.hpp"
#include "tallyfold/plane/directory/store_planner.hpp"

namespace tallyfold::directory {

/// What the leader observes of changes that do not complete.
struct stall_observation {
    /// Log fields for each group with an open change.
    std::vector<std::string> open_changes;
    unrepaired_groups unrepaired;
    /// Number of voters that have been silent for long.
    std::size_t silent_voters = 0;
};

class leader_stall_log {
  public:
    /// Handles the start of this node's leadership.
    void start(instant now);
    /// @return events to log now; empty while no stall has lasted long enough
    [[nodiscard]] std::vector<logging::event_record> check(const consensus::replica_fsm& replica,
                                                           consensus::replica_id self,
                                                           const stall_observation& observed,
                                                           instant now);

  private:
    [[nodiscard]] logging::event_record uncommitted_event(const consensus::replica_fsm& replica,
                                                          consensus::replica_id self,
                                                          instant now) const;

    instant leadership_start_{};
    /// Time since which at least one change has been open; empty when none is.
    std::optional<instant> changes_open_since_;
    instant next_report_{};
};

}  // namespace tallyfold::directory
