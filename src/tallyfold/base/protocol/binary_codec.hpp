#pragma once
/// @file
/// The codec of internal messages, snapshots and log records: cereal over a bounded buffer.
///
/// cereal's own binary archive trusts every length it reads. This input archive checks each
/// length against the bytes that are left, so that a damaged or hostile frame gives an error
/// instead of an allocation of its choosing.

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
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace tallyfold::protocol {

/// Why bytes could not be decoded.
struct decode_error {
    std::string reason;
};

class binary_writer : public cereal::OutputArchive<binary_writer, cereal::AllowEmptyClassElision> {
  public:
    explicit binary_writer(std::string& target) : OutputArchive(this), target_(target) {}
    void write(const void* data, std::size_t size) {
        target_.append(static_cast<const char*>(data), size);
    }

  private:
    std::string& target_;
};

class binary_reader : public cereal::InputArchive<binary_reader, cereal::AllowEmptyClassElision> {
  public:
    explicit binary_reader(std::string_view source) : InputArchive(this), source_(source) {}

    void read(void* data, std::size_t size) {
        if (size > source_.size()) {
            throw cereal::Exception("message ends early");
        }
        std::memcpy(data, source_.data(), size);
        source_.remove_prefix(size);
    }

    /// Refuses an element count that the remaining bytes cannot hold.
    void check_count(std::uint64_t count) const {
        if (count > source_.size()) {
            throw cereal::Exception("length exceeds the message");
        }
    }

    [[nodiscard]] bool exhausted() const { return source_.empty(); }

  private:
    std::string_view source_;
};

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(binary_writer& archive, T const& value) {
    archive.write(&value, sizeof(value));
}

template <class T>
requires std::is_arithmetic_v<T>
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

/// Bytes of `value`.
template <class T>
std::string encode(const T& value) {
    std::string bytes;
    binary_writer writer(bytes);
    writer(value);
    return bytes;
}

/// The value that `bytes` hold; an error when they are short, long or malformed.
template <class T>
tl::expected<T, decode_error> decode(std::string_view bytes) {
    try {
        binary_reader reader(bytes);
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
