#include "tallyfold/base/protocol/compression.hpp"

#include <zstd.h>

#include <stdexcept>

namespace tallyfold::protocol {

namespace {

/// The quickest of the library's usual levels: nodes that pack have a small share of a core.
constexpr int compression_level = 1;

}  // namespace

std::string compress(std::string_view bytes) {
    std::string packed(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size =
        ZSTD_compress(packed.data(), packed.size(), bytes.data(), bytes.size(), compression_level);
    if (ZSTD_isError(size) != 0) {
        // The buffer is as large as the library asks: only a lack of memory is left.
        throw std::runtime_error(ZSTD_getErrorName(size));
    }
    packed.resize(size);
    return packed;
}

tl::expected<std::string, decode_error> decompress(std::string_view packed, std::size_t most) {
    const unsigned long long size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
        return tl::unexpected(decode_error{"no compressed bytes"});
    }
    if (size > most) {
        return tl::unexpected(decode_error{"too many bytes once decompressed"});
    }
    std::string bytes(size, '\0');
    const std::size_t read =
        ZSTD_decompress(bytes.data(), bytes.size(), packed.data(), packed.size());
    if (ZSTD_isError(read) != 0 || read != size) {
        return tl::unexpected(decode_error{"compressed bytes are damaged"});
    }
    return bytes;
}

std::size_t unpacked_size(std::string_view bytes) {
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    const bool is_compressed = size != ZSTD_CONTENTSIZE_ERROR && size != ZSTD_CONTENTSIZE_UNKNOWN;
    return is_compressed ? size : bytes.size();
}

std::string unpacked(std::string_view bytes) {
    return decompress(bytes, max_unpacked_bytes).value_or(std::string(bytes));
}

}  // namespace tallyfold::protocol
