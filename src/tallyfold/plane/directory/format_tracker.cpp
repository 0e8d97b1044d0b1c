#include "tallyfold/plane/directory/format_tracker.hpp"

#include <algorithm>

namespace tallyfold::directory {

namespace {

/// Time without a message after which a node no longer counts as active. A node reports to one
/// directory node after another every 120 ms, so each of nine receives a report about once per
/// second.
constexpr duration active_window = std::chrono::seconds(5);
/// Entries that are older are removed, since names of replaced nodes are not reused. Far longer
/// than a restart.
constexpr duration entry_lifetime = std::chrono::minutes(30);

}  // namespace

bool format_tracker::record(const node_name& node, protocol::format_version format, instant now) {
    const auto [entry, is_new] = nodes_.try_emplace(node);
    const bool changed = is_new || entry->second.format != format;
    entry->second = {format, now};
    if (is_new) {
        std::erase_if(
            nodes_, [&](const auto& each) { return now - each.second.last_seen > entry_lifetime; });
    }
    return changed;
}

std::optional<node_name> format_tracker::active_node_below(protocol::format_version format,
                                                           instant now) const {
    const auto found = std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
        return entry.second.format < format && now - entry.second.last_seen <= active_window;
    });
    return found == nodes_.end() ? std::nullopt : std::optional<node_name>(found->first);
}

bool format_tracker::all_support(protocol::format_version format,
                                 const std::vector<node_name>& nodes) const {
    return std::all_of(nodes.begin(), nodes.end(), [&](const node_name& node) {
        const auto found = nodes_.find(node);
        return found != nodes_.end() && found->second.format >= format;
    });
}

std::size_t format_tracker::active_count(instant now) const {
    return static_cast<std::size_t>(std::count_if(
        nodes_.begin(), nodes_.end(),
        [&](const auto& entry) { return now - entry.second.last_seen <= active_window; }));
}

std::size_t format_tracker::count(protocol::format_version format, instant now) const {
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
            return entry.second.format == format && now - entry.second.last_seen <= active_window;
        }));
}

}  // namespace tallyfold::directory
