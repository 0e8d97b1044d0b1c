#pragma once
/// @file
/// On-disk cache of the state that a directory node last applied. After a restart, the node serves
/// it until a leader confirms which log entries are committed. Not authoritative: commands are
/// never applied to it. Owns two files in the node's data folder.

#include <string>
#include <utility>

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
    /// A failed write leaves the previous file intact; it is retried with the next changed state.
    void save(const directory_state& applied, instant now);

  private:
    [[nodiscard]] std::string path_of(std::size_t number) const;

    std::string folder_;
    /// Version and epoch of the last saved state.
    std::pair<routing::configuration_version, turns::map_epoch> saved_{};
    instant saved_at_{};
    /// Index of the file to write next.
    std::size_t next_ = 0;
};

}  // namespace tallyfold::directory
