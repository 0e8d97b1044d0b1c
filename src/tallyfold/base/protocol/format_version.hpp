#pragma once
/// @file
/// Versions of the formats in which nodes send messages and store records.

#include <cstdint>
#include <string>

namespace tallyfold::protocol {

/// Increases with each format that earlier builds can't read. A format in use never changes: an
/// incompatible change gets the next version.
enum class format_version : std::uint8_t {
    /// Builds that announce no version: replies with complete configurations, no tenants, no read
    /// index.
    v1 = 1,
    /// Adds partial configurations, tenants and permits, the read index, and groups that have lost
    /// their majority.
    v2 = 2,
    /// Adds the list of back ends in parts, and evacuated zones.
    v3 = 3,
    /// Adds the dispatch of calls to engines.
    v4 = 4,
    /// Adds the origins of resumable streams.
    v5 = 5,
    /// Adds the crashes of back ends under requests.
    v6 = 6,
    /// Adds the comparison of the members of a store group.
    v7 = 7,
};

constexpr format_version oldest_format = format_version::v1;
constexpr format_version newest_format = format_version::v7;

inline std::string to_string(format_version version) {
    return std::to_string(static_cast<int>(version));
}

}  // namespace tallyfold::protocol
