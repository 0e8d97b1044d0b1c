#pragma once
/// @file
/// The reports of stores that a directory's leader has received since it leads: the last one of
/// each disk, and when it came. Owns those reports; decides nothing but what follows from them.
/// Pure.

#include <map>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/directory/messages.hpp"

namespace tallyfold::directory {

class store_heartbeats {
  public:
    struct last_heartbeat {
        store_report report;
        instant received_at{};
    };

    /// This node has begun to lead: earlier reports may have gone to another leader, so they are
    /// forgotten.
    void start(instant now);
    void on_report(const store_report& report, instant now);

    /// True when the store reported within `limit`.
    [[nodiscard]] bool reported_within(turns::store_id id, duration limit, instant now) const;
    /// Time since the store's last report; since this leader began when it never reported.
    [[nodiscard]] duration silent_for(turns::store_id id, instant now) const;
    /// True when the disk's machine has since reported another disk, and that within `limit`.
    [[nodiscard]] bool is_replaced(const turns::store_member& member, duration limit,
                                   instant now) const;
    /// The store as it reported last, since its address may change with a restart; `known` when it
    /// never reported.
    [[nodiscard]] const turns::store_member& latest(const turns::store_member& known) const;
    /// Epoch of the newest map for which the store holds a whole copy; 0 when none is known.
    [[nodiscard]] turns::map_epoch copied_epoch(turns::store_id id) const;

    /// When this node began to lead.
    [[nodiscard]] instant leading_since() const { return leading_since_; }
    [[nodiscard]] const std::map<turns::store_id, last_heartbeat>& all() const { return stores_; }

  private:
    instant leading_since_{};
    std::map<turns::store_id, last_heartbeat> stores_;
};

}  // namespace tallyfold::directory
