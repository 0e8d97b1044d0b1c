#pragma once
/// @file
/// Compressed bytes (Zstandard): what many nodes are sent is packed once.

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tallyfold/base/protocol/stored_value.hpp"

namespace tallyfold::protocol {

std::string compress(std::string_view bytes);

/// @param most bytes that the result may have; an error when it would have more, or when `packed`
/// is no whole result of compress()
tl::expected<std::string, decode_error> decompress(std::string_view packed, std::size_t most);

/// Shorter bytes aren't worth compressing.
constexpr std::size_t compression_threshold_bytes = 1U << 10U;
/// More bytes than any record of ours holds.
constexpr std::size_t max_unpacked_bytes = 256U << 20U;

/// Bytes of `value` as encode_stored() makes them, compressed when there are many.
template <class T>
std::string encode_packed(const T& value) {
    std::string bytes = encode_stored(value);
    return bytes.size() < compression_threshold_bytes ? bytes : compress(bytes);
}

/// The bytes without their compression; as they are when they have none.
std::string unpacked(std::string_view bytes);

/// Size of unpacked().
std::size_t unpacked_size(std::string_view bytes);

/// The value that encode_packed() or encode_stored() made `bytes` of.
template <class T>
tl::expected<T, decode_error> decode_packed(std::string_view bytes) {
    return decode_stored<T>(unpacked(bytes));
}

}  // namespace tallyfold::protocol
