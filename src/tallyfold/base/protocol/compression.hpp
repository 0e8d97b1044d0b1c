#pragma once
/// @file
/// Zstandard compression of values that are sent to many nodes and thus compressed once.

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tallyfold/base/protocol/stored_value.hpp"

namespace tallyfold::protocol {

std::string compress(std::string_view bytes);

/// Reverses compress(). @param most largest size of the result in bytes
/// @return an error when the result would be larger, or when `packed` is truncated or corrupt
tl::expected<std::string, decode_error> decompress(std::string_view packed, std::size_t max_size);

/// Size in bytes below which a value is not compressed.
constexpr std::size_t compression_threshold_bytes = 1U << 10U;
/// Limit of a decompressed value in bytes, larger than any record.
constexpr std::size_t max_decompressed_bytes = 256U << 20U;

/// Encodes `value` like encode_stored(), and compresses the result unless it is small.
template <class T>
std::string encode_compressed(const T& value) {
    std::string bytes = encode_stored(value);
    return bytes.size() < compression_threshold_bytes ? bytes : compress(bytes);
}

/// Decompressed bytes; `bytes` unchanged when they are not compressed.
std::string decompressed_or_same(std::string_view bytes);

/// Size of the result of decompressed_or_same().
std::size_t decompressed_size(std::string_view bytes);

/// Decodes a value that was encoded by encode_compressed() or encode_stored().
template <class T>
tl::expected<T, decode_error> decode_compressed(std::string_view bytes) {
    return decode_stored<T>(decompressed_or_same(bytes));
}

}  // namespace tallyfold::protocol
