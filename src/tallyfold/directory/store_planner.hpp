#pragma once
/// @file
/// Decides which stores belong to the map, and when a change of it is complete. Pure; runs at
/// the directory's leader.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "tallyfold/common/time.hpp"
#include "tallyfold/directory/directory_state.hpp"
#include "tallyfold/directory/messages.hpp"

namespace tallyfold::directory {

struct store_planner_settings {
    /// Stores that may be lost at once.
    std::uint32_t losses = 1;
    /// A store that was silent for this long is left out when enough others remain.
    duration silence = std::chrono::seconds(6);
    /// A store counts as live within this time of its last report.
    duration live = std::chrono::milliseconds(1500);
    /// At the very first, reports are gathered for this long.
    duration first_gathering = std::chrono::milliseconds(1500);

    /// Stores needed so that a majority outlives the losses.
    [[nodiscard]] std::size_t fewest_stores() const { return 2 * losses + 1; }
};

class store_planner {
  public:
    explicit store_planner(store_planner_settings settings) : settings_(settings) {}

    /// This node has begun to lead: what was heard before says nothing.
    void start(instant now);
    void on_report(const store_report& report, instant now);
    /// The next map to commit, or nothing.
    [[nodiscard]] std::optional<turns::store_map> plan(const directory_state& state,
                                                       instant now) const;
    /// True when a store's machine may be emptied: enough others remain.
    [[nodiscard]] bool may_retire(const directory_state& state, const node_name& node) const;

  private:
    struct heard_store {
        store_report report;
        instant heard{};
    };
    [[nodiscard]] bool live(turns::store_id id, instant now) const;
    [[nodiscard]] bool silent(turns::store_id id, instant now) const;
    [[nodiscard]] std::vector<turns::store_member> wanted(const directory_state& state,
                                                          instant now) const;
    [[nodiscard]] std::optional<turns::store_map> finish(const directory_state& state,
                                                         instant now) const;

    store_planner_settings settings_;
    instant started_{};
    std::map<turns::store_id, heard_store> stores_;
};

}  // namespace tallyfold::directory
