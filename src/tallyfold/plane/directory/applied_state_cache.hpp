#pragma once
/// @file
/// On-disk cache of the state that a directory node last applied. After a restart, the node serves
/// it until a leader confirms which log entries are committed. Not authoritative: commands are
/// never applied to it. Owns two files in the node's data folder.

#include <compare>
#include <cstdint>
#include <string>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/directory/directory_state.hpp"

namespace tallyfold::directory {

class applied_state_cache {
  public:
    /// @param folder the node's data folder
    explicit applied_state_cache(std::string folder) : folder_(std::move(folder)) {}

    /// Returns the newest readable state; an empty one when both files are missing or damaged. The
    /// node then obtains the state from its log or its peers.
    directory_state load();
    /// Saves the state when it differs from the last saved one and the minimum interval has passed.
    /// A state that is older than the loaded one isn't saved: after a restart the log is applied
    /// again from its snapshot.
    /// A failed write leaves the previous file intact; it is retried with the next changed state.
    void save(const directory_state& applied, instant now);

  private:
    [[nodiscard]] std::string path_of(std::size_t number) const;

    std::string folder_;
    /// Identifies a state; of two states on one node, the later has the higher revision.
    struct state_revision {
        routing::configuration_version configuration = routing::no_version;
        turns::map_epoch stores = 0;
        std::uint64_t evacuations = 0;

        auto operator<=>(const state_revision&) const = default;
    };
    [[nodiscard]] static state_revision revision_of(const directory_state& state);

    /// Revision of the state found at the start.
    state_revision loaded_;
    /// Revision of the last saved state.
    state_revision saved_;
    instant saved_at_{};
    /// Index of the file to write next.
    std::size_t next_ = 0;
};

}  // namespace tallyfold::directory
