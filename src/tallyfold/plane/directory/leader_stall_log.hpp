#pragma once
/// @file
/// Tells operators what keeps a directory's leader from its work: no entry of its term is
/// committed, or changes of store groups stay open. Owns only when it last said so. Pure.

#include <optional>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/logging/event_catalogue.hpp"
#include "tallyfold/consensus/replica_fsm.hpp"

namespace tallyfold::directory {

class leader_stall_log {
  public:
    /// This node has begun to lead.
    void start(instant now);
    /// @param open_changes fields of a log line for each group whose change is open
    /// @return events to log now; nothing while no stall has lasted long enough
    [[nodiscard]] std::vector<logging::event_record> check(
        const consensus::replica_fsm& replica, consensus::replica_id self,
        const std::vector<std::string>& open_changes, instant now);

  private:
    [[nodiscard]] logging::event_record uncommitted(const consensus::replica_fsm& replica,
                                                    consensus::replica_id self, instant now) const;

    instant leads_since_{};
    /// Since when there have been open changes without a pause; nothing while there is none.
    std::optional<instant> changing_since_;
    instant next_report_{};
};

}  // namespace tallyfold::directory
