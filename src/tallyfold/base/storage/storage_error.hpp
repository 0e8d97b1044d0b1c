#pragma once
/// @file
/// Errors of reading or writing the data folder.

#include <cstdint>
#include <string>

namespace tallyfold::storage {

enum class storage_failure : std::uint8_t {
    /// A system call failed. After a failed write or sync the store is unusable.
    input_output,
    /// Synced data is corrupt; the replica must be recovered from its peers.
    damaged,
    /// Complete records of a format unknown to this build, written by another program or a later
    /// build. They must not be modified.
    unknown_format,
};

struct storage_error {
    storage_failure failure = storage_failure::input_output;
    /// File, offset and description of the error.
    std::string detail;
};

}  // namespace tallyfold::storage
