#pragma once
/// @file
/// The last report of each store disk, with the time of its receipt, since this node became leader.
/// Owns those reports. Pure.

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

    /// Handles the start of this node's leadership. Earlier reports are dropped, since newer ones
    /// may have gone to another leader.
    void start(instant now);
    void on_report(const store_report& report, instant now);

    /// True when the store reported within `limit`.
    [[nodiscard]] bool reported_within(turns::store_id id, duration limit, instant now) const;
    /// Time since the store's last report, or since leadership began when it has not reported.
    [[nodiscard]] duration silent_for(turns::store_id id, instant now) const;
    /// True when the disk's node has since reported a different disk, the last time within `limit`.
    [[nodiscard]] bool is_replaced(const turns::store_member& member, duration limit,
                                   instant now) const;
    /// The store as last reported, since its address may change with a restart; `known` when it has
    /// not reported.
    [[nodiscard]] const turns::store_member& latest(const turns::store_member& known) const;
    /// Epoch of the newest map for which the store holds a complete copy; 0 when unknown.
    [[nodiscard]] turns::map_epoch copied_epoch(turns::store_id id) const;

    [[nodiscard]] instant leading_since() const { return leading_since_; }
    [[nodiscard]] const std::map<turns::store_id, last_heartbeat>& all() const { return stores_; }

  private:
    instant leading_since_{};
    std::map<turns::store_id, last_heartbeat> stores_;
};

}  // namespace tallyfold::directory
