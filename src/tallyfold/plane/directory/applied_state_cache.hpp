#pragma once
/// @file
/// The state that a directory node applied last, noted beside its log: after a restart a node shows
/// it before a leader has confirmed what of the log is committed. It proves nothing.

#include <string>
#include <utility>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/directory/directory_state.hpp"

namespace tallyfold::directory {

class applied_state_cache {
  public:
    /// @param folder the node's data folder
    explicit applied_state_cache(std::string folder) : folder_(std::move(folder)) {}

    /// What was noted last; an empty state when nothing was.
    directory_state recall();
    /// Notes a state that differs from the one before, unless that was a moment ago.
    void note(const directory_state& applied, instant now);

  private:
    [[nodiscard]] std::string path_of(std::size_t number) const;

    std::string folder_;
    /// Version and epoch of the state that was noted last.
    std::pair<routing::configuration_version, turns::map_epoch> noted_{};
    instant noted_at_{};
    std::size_t next_ = 0;
};

}  // namespace tallyfold::directory
