#pragma once
/// @file
/// The checksum of records on disk: CRC-32C (Castagnoli).

#include <cstdint>
#include <string_view>

namespace tallyfold::storage {

std::uint32_t checksum(std::string_view bytes);

/// The same without the processor's instruction for it, for processors that have none.
std::uint32_t portable_checksum(std::string_view bytes);

}  // namespace tallyfold::storage
