#pragma once
/// @file
/// Files that hold one record: an identity, a snapshot, a map.

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tallyfold/base/storage/file.hpp"

namespace tallyfold::storage {

/// Payload of the file's record. A file that holds less, or more, is damage.
tl::expected<std::string, storage_error> read_single_record(const std::string& path);

/// One record that holds `payload`, as a file's whole contents.
std::string single_record(std::string_view payload);

}  // namespace tallyfold::storage
