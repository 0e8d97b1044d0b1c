#pragma once
/// @file
/// How two nodes agree on the form of their messages. Each side says which forms it knows, and from
/// where on it sends in the newest one that both know. Pure.
///
/// A build that knows the first form alone says nothing, and closes a connection over which a kind
/// of message comes that it doesn't know. So an opening travels as a reply to a question that was
/// never asked: each build reads it, and one without openings ignores it.

#include <cstdint>
#include <optional>

#include "tallyfold/plane/messaging/peer_message.hpp"

namespace tallyfold::messaging {

/// Number of a form, which may be later than those that this build knows.
using format_number = std::uint8_t;

struct format_offer {
    /// The newest form that the sender knows; it knows all earlier ones too.
    format_number newest_supported = 0;
    /// The form of what the sender sends after this.
    format_number next_format = 0;

    bool operator==(const format_offer&) const = default;
};

peer_message to_message(const format_offer& offer);
/// The opening that a message stands for; nothing for any other message.
std::optional<format_offer> parse_offer(const peer_message& message);

/// What one side of a connection knows of the other's forms.
class format_negotiation {
  public:
    /// The opening that begins a connection, from the side that made it.
    [[nodiscard]] format_offer initial_offer() const;
    /// The other side's opening has come. @return what to answer at once, if anything; from then on
    /// sends() is the form to send in
    std::optional<format_offer> receive(const format_offer& offer);

    /// The form of what comes from the other side now.
    [[nodiscard]] protocol::format_version receive_format() const { return receive_format_; }
    /// The form in which to send now.
    [[nodiscard]] protocol::format_version send_format() const { return send_format_; }
    /// The newest form that both know, as far as the other has said.
    [[nodiscard]] protocol::format_version common_format() const { return common_format_; }

  private:
    protocol::format_version receive_format_ = protocol::oldest_format;
    protocol::format_version send_format_ = protocol::oldest_format;
    protocol::format_version common_format_ = protocol::oldest_format;
};

}  // namespace tallyfold::messaging
