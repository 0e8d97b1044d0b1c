#pragma once
/// @file
/// The forms of what the directory's log and snapshots hold. In memory, and between nodes that know
/// the second form, large values are compressed. On disk, and towards nodes that know the first
/// form alone, they aren't: a machine may be given back to the build before at any time, as long as
/// nothing is stored that only a later one knows. Pure.

#include <string>
#include <tl/expected.hpp>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/consensus/persistence.hpp"
#include "tallyfold/plane/directory/directory_state.hpp"

namespace tallyfold::directory {

/// The state as it goes to disk.
std::string state_on_disk(const directory_state& state);
/// The same of a state that to_bytes() has made bytes of.
std::string state_on_disk(const std::string& packed);

/// The write with all its commands, and its snapshot, as they go to disk.
consensus::group_write write_on_disk(consensus::group_write write);

/// Gives the commands and the snapshot of a replica's message the first form. @return an error when
/// they hold what that form can't
tl::expected<void, protocol::encode_error> to_first_format(consensus::replica_message& message);

}  // namespace tallyfold::directory
