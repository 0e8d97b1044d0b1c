#pragma once
/// @file
/// The form of values on disk and in replicated logs, which outlive the build that wrote them.
///
/// A value is written in the oldest form that can hold it, so that a fleet may go back to the build
/// before as long as nothing that only the newer one knows is in use. Forms from the third one on
/// begin with their number: a reader that doesn't know it says so, and never takes it for damage.

#include <cstring>
#include <optional>
#include <string>
#include <string_view>

#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::protocol {

/// The first eight bytes of a value whose form has a number: this, and the number in the lowest of
/// them. Earlier forms begin with a version, an epoch or a small number, none of which comes near.
constexpr std::uint64_t numbered_form_mark = 0xFFFF'FFFF'FFFF'FE00U;

/// The form's number when the bytes begin with one.
inline std::optional<std::uint8_t> leading_format_number(std::string_view bytes) {
    std::uint64_t first = 0;
    if (bytes.size() < sizeof(first)) {
        return std::nullopt;
    }
    std::memcpy(&first, bytes.data(), sizeof(first));
    constexpr std::uint64_t number_bits = 0xFF;
    if ((first & ~number_bits) != numbered_form_mark) {
        return std::nullopt;
    }
    return static_cast<std::uint8_t>(first & number_bits);
}

/// Bytes of `value` in the oldest form that holds all of it.
template <class T>
std::string encode_stored(const T& value) {
    auto oldest = encode_as(value, oldest_format);
    return oldest ? std::move(*oldest) : encode(value);
}

/// The value that encode_stored() of this build or an earlier one made `bytes` of. The two forms
/// without a number are told apart by their length: whichever reading ends with the bytes.
template <class T>
tl::expected<T, decode_error> decode_stored(std::string_view bytes) {
    if (const auto number = leading_format_number(bytes)) {
        return tl::unexpected(decode_error{"its form has the number " + std::to_string(*number) +
                                               ", this build knows " + to_string(newest_format) +
                                               " and earlier ones",
                                           true});
    }
    if (auto value = decode<T>(bytes, oldest_format)) {
        return value;
    }
    return decode<T>(bytes);
}

}  // namespace tallyfold::protocol
