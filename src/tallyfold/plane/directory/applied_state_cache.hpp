#pragma once
/// @file
/// Cache on disk of the state that a directory node applied last, beside its log: after a restart
/// the node shows it to others before a leader has confirmed which part of the log is committed. It
/// proves nothing, and nothing is built on it. Owns two files in the node's data folder.

#include <string>
#include <utility>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/directory/directory_state.hpp"

namespace tallyfold::directory {

class applied_state_cache {
  public:
    /// @param folder the node's data folder
    explicit applied_state_cache(std::string folder) : folder_(std::move(folder)) {}

    /// The newest state that can be read; an empty one when none can, be it missing or damaged: the
    /// node then learns the state from its log or its peers.
    directory_state load();
    /// Saves a state that differs from the one saved last, unless that was a moment ago. A failed
    /// write leaves the file before it, and is tried again with the next different state.
    void save(const directory_state& applied, instant now);

  private:
    [[nodiscard]] std::string path_of(std::size_t number) const;

    std::string folder_;
    /// Version and epoch of the state that was saved last.
    std::pair<routing::configuration_version, turns::map_epoch> saved_{};
    instant saved_at_{};
    /// The file that is written next.
    std::size_t next_ = 0;
};

}  // namespace tallyfold::directory
