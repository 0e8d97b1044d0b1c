#pragma once
/// @file
/// Negotiation of the message format between two nodes. Each side offers the newest format that it
/// supports and announces when it switches to the newest common one. Pure.
///
/// Builds that support only the first format send no offer and close the connection on an unknown
/// kind of message. An offer is therefore encoded as a reply to an operation that doesn't exist:
/// every build can decode it, and builds without negotiation ignore it.

#include <cstdint>
#include <optional>

#include "tallyfold/plane/messaging/peer_message.hpp"

namespace tallyfold::messaging {

/// Number of a format; may be newer than the formats of this build.
using format_number = std::uint8_t;

struct format_offer {
    /// The newest format that the sender supports, as well as all older ones.
    format_number newest_supported = 0;
    /// Format of the sender's messages after this offer.
    format_number next_format = 0;

    bool operator==(const format_offer&) const = default;
};

peer_message to_message(const format_offer& offer);
/// The offer that a message encodes; nullopt for any other message.
std::optional<format_offer> parse_offer(const peer_message& message);

/// State of the negotiation on one side of a connection.
class format_negotiation {
  public:
    /// The first offer on a connection, sent by the side that connects.
    [[nodiscard]] format_offer initial_offer() const;
    /// Handles an offer of the peer. @return the offer to answer with, if any, which has to be sent
    /// before any message in the new send_format()
    std::optional<format_offer> receive(const format_offer& offer);

    /// Format of the messages received from now on.
    [[nodiscard]] protocol::format_version receive_format() const { return receive_format_; }
    /// Format of the messages to send from now on.
    [[nodiscard]] protocol::format_version send_format() const { return send_format_; }
    /// The newest common format; the oldest one until the peer has sent an offer.
    [[nodiscard]] protocol::format_version common_format() const { return common_format_; }

  private:
    protocol::format_version receive_format_ = protocol::oldest_format;
    protocol::format_version send_format_ = protocol::oldest_format;
    protocol::format_version common_format_ = protocol::oldest_format;
};

}  // namespace tallyfold::messaging
