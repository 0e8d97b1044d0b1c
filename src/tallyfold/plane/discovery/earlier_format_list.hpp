#pragma once
/// @file
/// Exchanges the list of back ends with nodes of formats before v3, which identify a list by a hash
/// of all entries and get it within the answers to their reports. Holds a second copy of the list,
/// and only once such a node has been met. Pure.

#include <vector>

#include "tallyfold/plane/discovery/backend_list.hpp"
#include "tallyfold/plane/discovery/types.hpp"

namespace tallyfold::discovery {

class earlier_format_list {
  public:
    /// @param list outlives this object
    explicit earlier_format_list(backend_list& list) : list_(list) {}

    /// Fingerprint of the list in the earlier formats, for reports to such a node.
    [[nodiscard]] list_fingerprint fingerprint();
    /// Returns the update for a node that holds the list `held`; empty when it holds the newest.
    /// @param held_age time since some node polled the list `held`
    [[nodiscard]] std::vector<list_update> update_for(list_fingerprint held, duration held_age,
                                                      instant now);
    /// Applies an update from such a node.
    /// @return what changed
    list_changes receive(const list_update& update, instant now);

  private:
    /// Number of earlier lists from which differences can be sent.
    static constexpr std::size_t earlier_list_count = 8;

    /// Updates the copy from the list.
    void update_copy();

    backend_list& list_;
    backend_list_replica copy_{earlier_list_count};
    /// The list that was copied.
    list_fingerprint copied_ = 0;
};

}  // namespace tallyfold::discovery
