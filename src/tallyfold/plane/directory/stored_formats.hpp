#pragma once
/// @file
/// Storage and wire formats of the directory's log entries and snapshots. Pure.
/// - In memory, and between nodes that support format v2, large values are compressed.
/// - On disk, and for nodes that support only format v1, values are uncompressed and in format v1
///   where that format can represent them, so that a machine can return to an earlier build.

#include <string>
#include <tl/expected.hpp>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/consensus/persistence.hpp"
#include "tallyfold/plane/directory/directory_state.hpp"

namespace tallyfold::directory {

/// Returns the state in its on-disk format.
std::string state_on_disk(const directory_state& state);
/// Returns the on-disk format of a state that to_bytes() serialized.
std::string state_on_disk(const std::string& packed);

/// Returns the write with its commands and its snapshot in their on-disk format.
consensus::group_write write_on_disk(consensus::group_write write);

/// Converts the commands and the snapshot in a replica's message to format v1.
/// @return an error when that format cannot represent them
tl::expected<void, protocol::encode_error> to_first_format(consensus::replica_message& message);

}  // namespace tallyfold::directory
