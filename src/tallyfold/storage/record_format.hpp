#pragma once
/// @file
/// Records of a log segment: header {length, checksum of length, checksum of payload}, payload.
///
/// The header has a checksum of its own, so that a flipped bit in a length is told apart from a
/// record whose end was never written.

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/consensus/persistence.hpp"

namespace tallyfold::storage {

/// Adds one record that holds `payload` to `target`.
void append_record(std::string& target, std::string_view payload);

struct scan_result {
    std::vector<std::string_view> payloads;
    /// Bytes up to the end of the last whole record; what follows is a half-written tail.
    std::uint64_t valid_length = 0;
};

/// Splits `bytes` into records. A tail that ends early or holds only zeros is left out; any
/// other mismatch is damage, reported with `name` and the offset.
tl::expected<scan_result, consensus::storage_error> scan_records(std::string_view bytes,
                                                                 const std::string& name);

}  // namespace tallyfold::storage
