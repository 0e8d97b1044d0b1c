#pragma once
/// @file
/// Emulates a node that supports only the first message format, by encoding and decoding messages
/// in that format.

#include <optional>

#include "tallyfold/plane/directory/directory_work.hpp"
#include "tallyfold/plane/directory/stored_formats.hpp"
#include "tallyfold/plane/messaging/peer_message.hpp"

namespace tallyfold::tests {

/// @return the message as its receiver decodes it; empty when the first format can't represent it
template <class Message>
std::optional<Message> reencode_in_first_format(const Message& message) {
    const auto bytes = protocol::encode_as(message, protocol::format_version::v1);
    if (!bytes) {
        return std::nullopt;
    }
    auto read = protocol::decode<Message>(*bytes, protocol::format_version::v1);
    return read ? std::optional<Message>(std::move(*read)) : std::nullopt;
}

/// The same for a consensus message, whose commands are converted to the first format too.
inline std::optional<consensus::replica_message> reencode_replica_message(
    consensus::replica_message message) {
    if (!directory::to_first_format(message)) {
        return std::nullopt;
    }
    return reencode_in_first_format(message);
}

}  // namespace tallyfold::tests
