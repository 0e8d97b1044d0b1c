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

#include "tallyfold/base/storage/storage_error.hpp"

namespace tallyfold::storage {

/// Adds one record that holds `payload` to `target`.
void append_record(std::string& target, std::string_view payload);

/// Bytes of a record's header.
constexpr std::size_t record_header_size = 12;

/// Length of the whole record at the start of `bytes`, its header included; 0 when there is none.
std::uint64_t whole_record_length(std::string_view bytes);

struct scan_result {
    std::vector<std::string_view> payloads;
    /// Bytes up to the end of the last whole record; what follows is a half-written tail.
    std::uint64_t valid_length = 0;
};

/// How a mismatch behind the last whole record is taken.
enum class tail_policy : std::uint8_t {
    /// As damage, since the record may have been synced: for disks that keep a crash's order.
    refuse,
    /// As the torn write of a lost power, when no whole record follows it: for stores that sync
    /// each single write before the next one. A mismatch with a record behind it stays damage.
    cut_unsynced,
};

/// Splits `bytes` into records. A tail that ends early or holds only zeros is left out; any
/// other mismatch is judged by `policy` and, as damage, reported with `name` and the offset.
tl::expected<scan_result, storage_error> scan_records(std::string_view bytes,
                                                      const std::string& name,
                                                      tail_policy policy = tail_policy::refuse);

}  // namespace tallyfold::storage
