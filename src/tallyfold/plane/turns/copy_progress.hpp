#pragma once
/// @file
/// Tracks which sources a joining store has copied, and whether its copy is complete. Pure.
///
/// store_map::required_copy_count gives the number of sources that are required.

#include <set>

#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::turns {

/// A copy is complete once its sources intersect every majority of the current stores: each write
/// under the older map is then held by one of the sources, since a source adopts the new map before
/// it replies.
class copy_progress {
  public:
    copy_progress(store_map map, store_id self);

    [[nodiscard]] map_epoch epoch() const { return map_.epoch; }
    [[nodiscard]] const store_map& map() const { return map_; }
    /// True when this store is joining and has to copy.
    [[nodiscard]] bool required() const;
    /// Current members that have not been copied completely yet.
    [[nodiscard]] std::vector<store_member> remaining_sources() const;
    /// Records that `source` has sent all it holds. A store that is not a current member, such as a
    /// replaced disk at the same address, is ignored.
    void mark_complete(store_id source);
    [[nodiscard]] bool complete() const;

  private:
    store_map map_;
    store_id self_;
    std::set<store_id> completed_sources_;
};

}  // namespace tallyfold::turns
