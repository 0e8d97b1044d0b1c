#include "tallyfold/plane/directory/version_tracker.hpp"

#include <algorithm>

namespace tallyfold::directory {

namespace {

/// Silence after which a node is ignored. A node reports to the directory nodes in turn, to each of
/// nine about once per second, so it has missed two or three reports.
constexpr duration node_timeout = std::chrono::seconds(3);

}  // namespace

void version_tracker::on_applied(routing::configuration_version version, instant now) {
    if (version <= newest_) {
        return;
    }
    newest_ = version;
    applied_at_ = now;
    is_reported_ = false;
}

void version_tracker::on_report(const node_name& node, routing::configuration_version version,
                                instant now) {
    nodes_[node] = {version, now};
}

std::size_t version_tracker::nodes_behind() const {
    const auto lags = [&](const auto& entry) { return entry.second.version < newest_; };
    return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), lags));
}

std::optional<version_tracker::propagation> version_tracker::take_propagated(instant now) {
    const auto is_silent = [&](const auto& entry) {
        return now - entry.second.last_seen > node_timeout;
    };
    std::erase_if(nodes_, is_silent);
    if (is_reported_ || nodes_.empty() || nodes_behind() > 0) {
        return std::nullopt;
    }
    is_reported_ = true;
    return propagation{newest_, nodes_.size(), now - applied_at_};
}

}  // namespace tallyfold::directory
