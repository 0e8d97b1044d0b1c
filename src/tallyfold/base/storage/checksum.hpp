#pragma once
/// @file
/// CRC-32C (Castagnoli) checksum of records on disk.

#include <cstdint>
#include <string_view>

namespace tallyfold::storage {

std::uint32_t checksum(std::string_view bytes);

/// Software implementation, for processors without the SSE 4.2 CRC-32C instruction.
std::uint32_t portable_checksum(std::string_view bytes);

}  // namespace tallyfold::storage
