#pragma once
/// @file
/// Numbers of the forms in which nodes send messages and store records. docs/FORMATS.md says what
/// each holds, who may meet it, and how a form may change.

#include <cstdint>
#include <string>

namespace tallyfold::protocol {

/// Grows with each form that a node of an earlier build can't read. A form never changes once it is
/// in use: what has to change gets the next number.
enum class format_version : std::uint8_t {
    /// Of the builds that say no number: whole configurations in answers, no tenants, no read
    /// index.
    v1 = 1,
    /// Configurations in parts, tenants and permits, read index, groups that lost a majority.
    v2 = 2,
};

constexpr format_version oldest_format = format_version::v1;
constexpr format_version newest_format = format_version::v2;

inline std::string to_string(format_version version) {
    return std::to_string(static_cast<int>(version));
}

}  // namespace tallyfold::protocol
