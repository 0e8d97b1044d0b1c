#include "tallyfold/base/protocol/compression.hpp"

#include <zstd.h>

#include <stdexcept>

namespace tallyfold::protocol {

namespace {

/// Fastest standard level, since the nodes that compress have little CPU time.
constexpr int compression_level = 1;

}  // namespace

std::string compress(std::string_view bytes) {
    std::string packed(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size =
        ZSTD_compress(packed.data(), packed.size(), bytes.data(), bytes.size(), compression_level);
    if (ZSTD_isError(size) != 0) {
        // The buffer is large enough, so the only possible error is a lack of memory.
        throw std::runtime_error(ZSTD_getErrorName(size));
    }
    packed.resize(size);
    return packed;
}

tl::expected<std::string, decode_error> decompress(std::string_view packed, std::size_t max_size) {
    const unsigned long long size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
        return tl::unexpected(decode_error{"not a Zstandard frame of known size"});
    }
    if (size > max_size) {
        return tl::unexpected(decode_error{"decompressed size exceeds the limit"});
    }
    std::string bytes(size, '\0');
    const std::size_t read =
        ZSTD_decompress(bytes.data(), bytes.size(), packed.data(), packed.size());
    if (ZSTD_isError(read) != 0 || read != size) {
        return tl::unexpected(decode_error{"compressed data is corrupt"});
    }
    return bytes;
}

std::size_t decompressed_size(std::string_view bytes) {
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    const bool is_compressed = size != ZSTD_CONTENTSIZE_ERROR && size != ZSTD_CONTENTSIZE_UNKNOWN;
    return is_compressed ? size : bytes.size();
}

std::string decompressed_or_same(std::string_view bytes) {
    return decompress(bytes, max_decompressed_bytes).value_or(std::string(bytes));
}

}  // namespace tallyfold::protocol
