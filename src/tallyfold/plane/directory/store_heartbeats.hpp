#pragma once
/// @file
/// What a directory's leader has heard of stores since it leads: which are live, which are silent,
/// and which disks are known to be gone. Pure.

#include <map>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/directory/messages.hpp"

namespace tallyfold::directory {

class store_heartbeats {
  public:
    struct last_heartbeat {
        store_report report;
        instant heard{};
    };

    /// This node has begun to lead: what was heard before says nothing.
    void start(instant now);
    void on_report(const store_report& report, instant now);

    /// True when the store reported within `limit`.
    [[nodiscard]] bool heard_within(turns::store_id id, duration limit, instant now) const;
    /// How long the store has been silent; since this leader began when it never reported.
    [[nodiscard]] duration silence_of(turns::store_id id, instant now) const;
    /// True when the disk's machine has since reported another one, and that within `limit`.
    [[nodiscard]] bool replaced(const turns::store_member& member, duration limit,
                                instant now) const;
    /// The store as it reported last, since its address may change with a restart; `known` when it
    /// never did.
    [[nodiscard]] const turns::store_member& newest(const turns::store_member& known) const;
    /// The map for which the store holds a whole copy; 0 when none is known.
    [[nodiscard]] turns::map_epoch copied_epoch(turns::store_id id) const;

    [[nodiscard]] instant started() const { return started_; }
    [[nodiscard]] const std::map<turns::store_id, last_heartbeat>& all() const { return stores_; }

  private:
    instant started_{};
    std::map<turns::store_id, last_heartbeat> stores_;
};

}  // namespace tallyfold::directory
