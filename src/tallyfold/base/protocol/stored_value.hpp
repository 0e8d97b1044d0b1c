#pragma once
/// @file
/// Encoding of values on disk and in replicated logs, which other builds may have to read.
///
/// A value is written in the oldest format that can represent it, so that a cluster can be
/// downgraded as long as no newer feature is in use. Formats from the third on begin with their
/// version, so that an older reader reports an unknown format instead of corruption.

#include <cstring>
#include <optional>
#include <string>
#include <string_view>

#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::protocol {

/// First eight bytes of a value with a format version; the lowest byte holds the version. Values of
/// earlier formats begin with a version, an epoch or a small number, which never reach this value.
constexpr std::uint64_t format_version_marker = 0xFFFF'FFFF'FFFF'FE00U;
/// The newest format of stored values. Later formats add messages only.
constexpr format_version newest_stored_format = format_version::v3;

/// Format version at the start of `bytes`, if there is one.
inline std::optional<std::uint8_t> leading_format_number(std::string_view bytes) {
    std::uint64_t first = 0;
    if (bytes.size() < sizeof(first)) {
        return std::nullopt;
    }
    std::memcpy(&first, bytes.data(), sizeof(first));
    constexpr std::uint64_t number_bits = 0xFF;
    if ((first & ~number_bits) != format_version_marker) {
        return std::nullopt;
    }
    return static_cast<std::uint8_t>(first & number_bits);
}

/// Encodes `value` in the oldest format that can represent all of it.
template <class T>
std::string encode_stored(const T& value) {
    for (const format_version format : {format_version::v1, format_version::v2}) {
        if (auto bytes = encode_as(value, format)) {
            return std::move(*bytes);
        }
    }
    const std::uint64_t marker =
        format_version_marker | static_cast<std::uint64_t>(newest_stored_format);
    std::string bytes = encode(marker);
    binary_writer writer(bytes, newest_stored_format);
    writer(value);
    return bytes;
}

/// Decodes a value that was encoded by encode_stored() of this or an earlier build. Of the two
/// formats without a version, the first whose decoding consumes exactly all bytes applies.
template <class T>
tl::expected<T, decode_error> decode_stored(std::string_view bytes) {
    const auto number = leading_format_number(bytes);
    if (number == static_cast<std::uint8_t>(newest_stored_format)) {
        return decode<T>(bytes.substr(sizeof(format_version_marker)), newest_stored_format);
    }
    if (number) {
        return tl::unexpected(decode_error{
            "its form has the number " + std::to_string(*number) + ", this build knows " +
                to_string(newest_stored_format) + " and earlier ones",
            true});
    }
    if (auto value = decode<T>(bytes, format_version::v1)) {
        return value;
    }
    return decode<T>(bytes, format_version::v2);
}

}  // namespace tallyfold::protocol
