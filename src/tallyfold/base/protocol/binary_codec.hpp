#pragma once
/// @file
/// Binary codec of internal messages, snapshots and log records, based on cereal.
///
/// Unlike cereal's binary archive, the input archive checks each length against the remaining
/// bytes, so that a corrupt or hostile frame gives an error instead of a huge allocation.
///
/// Both archives carry the format_version that they write or read. A type whose format has changed
/// checks it in serialize() and reports, with report_unsupported(), content that an older format
/// can't represent.

#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <limits>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <type_traits>

#include "tallyfold/base/protocol/format_version.hpp"

namespace tallyfold::protocol {

// Values, frames and records are copied from memory, and machines of different kinds exchange them.
static_assert(std::endian::native == std::endian::little);
static_assert(std::numeric_limits<float>::is_iec559 && std::numeric_limits<double>::is_iec559);

/// Numbers with the same bytes on every kind of machine. `long double` has 80 bits on x86-64 and
/// 128 on arm64, `wchar_t` a sign on x86-64 only.
template <class T>
concept portable_number =
    std::is_arithmetic_v<T> && !std::is_same_v<T, long double> && !std::is_same_v<T, wchar_t>;

/// Reason for which bytes could not be decoded.
struct decode_error {
    std::string reason;
    /// The bytes declare a format later than newest_format, so they are not corrupt.
    bool is_newer_format = false;
};

/// Reason for which a value can't be encoded in the requested format.
struct encode_error {
    /// Content that the format can't represent.
    std::string unsupported_content;
};

class binary_writer : public cereal::OutputArchive<binary_writer, cereal::AllowEmptyClassElision> {
  public:
    explicit binary_writer(std::string& target, format_version format = newest_format)
        : OutputArchive(this), target_(target), format_(format) {}
    void write(const void* data, std::size_t size) {
        target_.append(static_cast<const char*>(data), size);
    }

    [[nodiscard]] format_version format() const { return format_; }
    /// Marks the output as unusable: the value has `content`, which the format can't represent.
    void mark_unsupported(std::string_view content) { unsupported_content_ = content; }
    /// Content that the format can't represent; empty when the encoding is complete.
    [[nodiscard]] const std::string& unsupported_content() const { return unsupported_content_; }

  private:
    std::string& target_;
    format_version format_;
    std::string unsupported_content_;
};

class binary_reader : public cereal::InputArchive<binary_reader, cereal::AllowEmptyClassElision> {
  public:
    explicit binary_reader(std::string_view source, format_version format = newest_format)
        : InputArchive(this), source_(source), format_(format) {}

    [[nodiscard]] format_version format() const { return format_; }

    void read(void* data, std::size_t size) {
        if (size > source_.size()) {
            throw cereal::Exception("message ends early");
        }
        std::memcpy(data, source_.data(), size);
        source_.remove_prefix(size);
    }

    /// Throws when the remaining bytes are too few for `count` elements.
    void check_count(std::uint64_t count) const {
        if (count > source_.size()) {
            throw cereal::Exception("length exceeds the message");
        }
    }

    [[nodiscard]] bool exhausted() const { return source_.empty(); }

  private:
    std::string_view source_;
    format_version format_;
};

template <portable_number T>
void CEREAL_SAVE_FUNCTION_NAME(binary_writer& archive, T const& value) {
    archive.write(&value, sizeof(value));
}

template <portable_number T>
void CEREAL_LOAD_FUNCTION_NAME(binary_reader& archive, T& value) {
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.read(&byte, sizeof(byte));
        value = byte != 0;
    } else {
        archive.read(&value, sizeof(value));
    }
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(binary_writer& archive, cereal::BinaryData<T> const& data) {
    archive.write(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(binary_reader& archive, cereal::BinaryData<T>& data) {
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

template <class Archive, class T>
requires std::is_same_v<Archive, binary_writer>
void CEREAL_SAVE_FUNCTION_NAME(Archive& archive, cereal::SizeTag<T> const& tag) {
    archive(static_cast<std::uint32_t>(tag.size));
}

template <class Archive, class T>
requires std::is_same_v<Archive, binary_reader>
void CEREAL_LOAD_FUNCTION_NAME(Archive& archive, cereal::SizeTag<T>& tag) {
    std::uint32_t count = 0;
    archive(count);
    archive.check_count(count);
    tag.size = count;
}

template <class Archive, class T>
requires std::is_same_v<Archive, binary_writer> || std::is_same_v<Archive, binary_reader>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive& archive, cereal::NameValuePair<T>& pair) {
    archive(pair.value);
}

/// Called in serialize() when the value has content that the archive's format can't represent.
/// Applies to writers only: a reader gets no such content.
template <class Archive>
void report_unsupported(Archive& archive, std::string_view content) {
    if constexpr (std::is_same_v<Archive, binary_writer>) {
        archive.mark_unsupported(content);
    }
}

/// Encodes `value` in the newest format.
template <class T>
std::string encode(const T& value) {
    std::string bytes;
    binary_writer writer(bytes);
    writer(value);
    return bytes;
}

/// Encodes `value` in `format`; an error when that format can't represent all of it.
template <class T>
tl::expected<std::string, encode_error> encode_as(const T& value, format_version format) {
    std::string bytes;
    binary_writer writer(bytes, format);
    writer(value);
    if (!writer.unsupported_content().empty()) {
        return tl::unexpected(encode_error{writer.unsupported_content()});
    }
    return bytes;
}

/// Decodes `bytes`; an error when they are truncated, malformed or followed by further bytes.
template <class T>
tl::expected<T, decode_error> decode(std::string_view bytes,
                                     format_version format = newest_format) {
    try {
        binary_reader reader(bytes, format);
        T value{};
        reader(value);
        if (!reader.exhausted()) {
            return tl::unexpected(decode_error{"message has trailing bytes"});
        }
        return value;
    } catch (const std::exception& failure) {
        return tl::unexpected(decode_error{failure.what()});
    }
}

}  // namespace tallyfold::protocol

CEREAL_REGISTER_ARCHIVE(tallyfold::protocol::binary_writer)
CEREAL_REGISTER_ARCHIVE(tallyfold::protocol::binary_reader)
CEREAL_SETUP_ARCHIVE_TRAITS(tallyfold::protocol::binary_reader, tallyfold::protocol::binary_writer)
