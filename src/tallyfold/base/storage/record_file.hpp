#pragma once
/// @file
/// Files that consist of a single record, such as an identity, a snapshot or a map.

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tallyfold/base/storage/file.hpp"

namespace tallyfold::storage {

/// Reads the payload of the file's record. Missing or additional bytes are reported as damage.
tl::expected<std::string, storage_error> read_single_record(const std::string& path);

/// Contents of a file with `payload` as its only record.
std::string single_record(std::string_view payload);

}  // namespace tallyfold::storage
