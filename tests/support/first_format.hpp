#pragma once
/// @file
/// Stands in for a node of the build that knows the first form alone: what it is sent passes
/// through the bytes of that form, as does what it sends.

#include <optional>

#include "tallyfold/plane/directory/directory_work.hpp"
#include "tallyfold/plane/directory/stored_forms.hpp"
#include "tallyfold/plane/messaging/peer_message.hpp"

namespace tallyfold::tests {

/// The message as its receiver reads it; nothing when the first form can't hold it.
template <class Message>
std::optional<Message> through_first_format(const Message& message) {
    const auto bytes = protocol::encode_as(message, protocol::format_version::v1);
    if (!bytes) {
        return std::nullopt;
    }
    auto read = protocol::decode<Message>(*bytes, protocol::format_version::v1);
    return read ? std::optional<Message>(std::move(*read)) : std::nullopt;
}

/// The same of a replica's message, whose commands have forms of their own.
inline std::optional<consensus::replica_message> replica_message_through_first_format(
    consensus::replica_message message) {
    if (!directory::to_first_format(message)) {
        return std::nullopt;
    }
    return through_first_format(message);
}

}  // namespace tallyfold::tests
