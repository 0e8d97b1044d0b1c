#pragma once
/// @file
/// Format of records in a log segment: header {length, checksum of length, checksum of payload},
/// then payload.
///
/// The length has its own checksum, which distinguishes a corrupt length from a torn write.

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/base/storage/storage_error.hpp"

namespace tallyfold::storage {

/// Appends a record with `payload` to `target`.
void append_record(std::string& target, std::string_view payload);

/// Size of a record header in bytes.
constexpr std::size_t record_header_size = 12;

/// Length, with header, of the complete valid record at the start of `bytes`; 0 if there is none.
std::uint64_t whole_record_length(std::string_view bytes);

struct scan_result {
    std::vector<std::string_view> payloads;
    /// Bytes up to the end of the last complete record; the rest is a torn tail.
    std::uint64_t valid_length = 0;
};

/// Handling of a checksum mismatch after the last complete record.
enum class tail_policy : std::uint8_t {
    /// Reports damage, since the record may have been synced. For disks that persist writes in
    /// order.
    refuse,
    /// Treats the mismatch as a torn write when no complete record follows it, and as damage
    /// otherwise. For stores that sync each write before the next one.
    truncate_torn,
};

/// Splits `bytes` into records. A tail that is truncated or all zeros is skipped; any other
/// mismatch is handled according to `policy`. Damage is reported with `name` and the offset.
tl::expected<scan_result, storage_error> scan_records(std::string_view bytes,
                                                      const std::string& name,
                                                      tail_policy policy = tail_policy::refuse);

}  // namespace tallyfold::storage
