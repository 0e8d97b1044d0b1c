#include "tallyfold/plane/messaging/peer_message.hpp"

#include <array>
#include <cstring>

namespace tallyfold::messaging {

std::string encode_frame(const peer_message& message) {
    const std::string payload = protocol::encode(message);
    const auto length = static_cast<std::uint32_t>(payload.size());
    std::array<char, frame_header_size> header{};
    std::memcpy(header.data(), &length, sizeof(length));
    std::string frame;
    frame.reserve(header.size() + payload.size());
    frame.append(header.data(), header.size());
    frame.append(payload);
    return frame;
}

tl::expected<peer_message, protocol::decode_error> decode_payload(std::string_view payload) {
    return protocol::decode<peer_message>(payload);
}

}  // namespace tallyfold::messaging
