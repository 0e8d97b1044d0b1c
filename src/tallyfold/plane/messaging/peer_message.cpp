#include "tallyfold/plane/messaging/peer_message.hpp"

#include <array>
#include <cstring>

namespace tallyfold::messaging {

namespace {

std::string frame_of(const std::string& payload) {
    const auto length = static_cast<std::uint32_t>(payload.size());
    std::array<char, frame_header_size> header{};
    std::memcpy(header.data(), &length, sizeof(length));
    std::string frame;
    frame.reserve(header.size() + payload.size());
    frame.append(header.data(), header.size());
    frame.append(payload);
    return frame;
}

std::size_t kinds_in(protocol::format_version format) {
    switch (format) {
        case protocol::format_version::v1:
            return kinds_in_first_format;
        case protocol::format_version::v2:
            return kinds_in_second_format;
        case protocol::format_version::v3:
            return kinds_in_third_format;
        case protocol::format_version::v4:
            return kinds_in_fourth_format;
        case protocol::format_version::v5:
            return kinds_in_fifth_format;
        case protocol::format_version::v6:
            return kinds_in_sixth_format;
        case protocol::format_version::v7:
            break;
    }
    return std::variant_size_v<peer_message>;
}

}  // namespace

std::string encode_frame(const peer_message& message) {
    return frame_of(protocol::encode(message));
}

tl::expected<std::string, protocol::encode_error> encode_frame(const peer_message& message,
                                                               protocol::format_version format) {
    if (message.index() >= kinds_in(format)) {
        return tl::unexpected(
            protocol::encode_error{"messages of kind " + std::to_string(message.index())});
    }
    return protocol::encode_as(message, format).map(frame_of);
}

tl::expected<peer_message, protocol::decode_error> decode_payload(std::string_view payload,
                                                                  protocol::format_version format) {
    return protocol::decode<peer_message>(payload, format);
}

std::optional<std::uint32_t> kind_of_payload(std::string_view payload) {
    std::uint32_t kind = 0;
    if (payload.size() < sizeof(kind)) {
        return std::nullopt;
    }
    std::memcpy(&kind, payload.data(), sizeof(kind));
    return kind;
}

}  // namespace tallyfold::messaging
