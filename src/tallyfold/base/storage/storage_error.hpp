#pragma once
/// @file
/// How reading or writing the data folder fails.

#include <cstdint>
#include <string>

namespace tallyfold::storage {

enum class storage_failure : std::uint8_t {
    /// The operating system refused; after a failed write or sync the store is unusable.
    input_output,
    /// Bytes that had been synced are not what was written: recover from the peers.
    damaged,
    /// Whole records that this build can't read: another program or a later build wrote them. They
    /// are to be left alone.
    foreign,
};

struct storage_error {
    storage_failure failure = storage_failure::input_output;
    /// File and offset, and what is wrong there.
    std::string detail;
};

}  // namespace tallyfold::storage
