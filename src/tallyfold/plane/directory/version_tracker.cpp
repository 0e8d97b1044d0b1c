#include "tallyfold/plane/directory/version_tracker.hpp"

#include <algorithm>

namespace tallyfold::directory {

namespace {

/// A node reports to each of some nine directory nodes about once a second.
constexpr duration silent_after = std::chrono::seconds(3);

}  // namespace

void version_tracker::holds(routing::configuration_version version, instant now) {
    if (version <= newest_) {
        return;
    }
    newest_ = version;
    held_since_ = now;
    told_ = false;
}

void version_tracker::reported(const node_name& node, routing::configuration_version version,
                               instant now) {
    nodes_[node] = {version, now};
}

std::size_t version_tracker::behind() const {
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(),
                      [&](const auto& entry) { return entry.second.version < newest_; }));
}

std::optional<version_tracker::spread> version_tracker::check(instant now) {
    std::erase_if(nodes_,
                  [&](const auto& entry) { return now - entry.second.heard > silent_after; });
    if (told_ || nodes_.empty() || behind() > 0) {
        return std::nullopt;
    }
    told_ = true;
    return spread{newest_, nodes_.size(), now - held_since_};
}

}  // namespace tallyfold::directory
