#pragma once
/// @file
/// How far a store has copied what it needs to serve under a new map. Pure.
///
/// Owns the sources that have sent all they hold. Relies on store_map::copies_needed for how many
/// that takes.

#include <set>

#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::turns {

/// A copy is whole once its sources meet every majority of the current stores: each write under
/// the older map then lies at one of them, since they take the new map before they answer.
class copy_progress {
  public:
    copy_progress(store_map map, store_id self);

    [[nodiscard]] map_epoch epoch() const { return map_.epoch; }
    [[nodiscard]] const store_map& map() const { return map_; }
    /// True when this store has to copy at all.
    [[nodiscard]] bool required() const;
    /// Stores that may be copied from and were not yet.
    [[nodiscard]] std::vector<store_member> remaining_sources() const;
    /// The store that answered has given all it holds. One that is not among the current stores,
    /// such as a new disk at an old one's address, doesn't count.
    void mark_complete(store_id source);
    [[nodiscard]] bool complete() const;

  private:
    store_map map_;
    store_id self_;
    std::set<store_id> completed_sources_;
};

}  // namespace tallyfold::turns
