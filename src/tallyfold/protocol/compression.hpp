#pragma once
/// @file
/// Compressed bytes (Zstandard): what many nodes are sent is packed once.

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tallyfold/protocol/binary_codec.hpp"

namespace tallyfold::protocol {

std::string compress(std::string_view bytes);

/// @param most bytes that the result may have; an error when it would have more, or when `packed`
/// is no whole result of compress()
tl::expected<std::string, decode_error> decompress(std::string_view packed, std::size_t most);

}  // namespace tallyfold::protocol
