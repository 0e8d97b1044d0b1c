#pragma once
/// @file
/// The messages that nodes of the forwarding plane send to each other.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/consensus/messages.hpp"
#include "tallyfold/plane/directory/messages.hpp"
#include "tallyfold/plane/tenants/messages.hpp"
#include "tallyfold/plane/turns/messages.hpp"

namespace tallyfold::messaging {

/// A replica's message, with the address at which its sender is reached.
struct replica_envelope {
    node_name from;
    consensus::replica_message message;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(from, message);
    }
};

using peer_message =
    std::variant<replica_envelope, directory::join_request, directory::node_report,
                 directory::node_report_answer, turns::begin_request, turns::begin_reply,
                 turns::history_request, turns::history_reply, turns::settle_request,
                 turns::settle_reply, turns::copy_request, turns::copy_reply, turns::find_request,
                 turns::find_reply, tenants::permit_report, tenants::permit_answer,
                 discovery::failure_report, directory::configuration_request,
                 directory::configuration_part>;

/// Frames longer than this are refused: nothing that is sent comes near it.
constexpr std::size_t largest_frame = 32U << 20U;
/// Each frame starts with its length in four bytes.
constexpr std::size_t frame_header_size = 4;

/// Kinds of the first form; a build that knows no other can't read further ones.
constexpr std::size_t kinds_in_first_format = 14;

/// One message as a frame of the newest form.
std::string encode_frame(const peer_message& message);
/// One message as a frame of one form; an error when that form can't hold it.
tl::expected<std::string, protocol::encode_error> encode_frame(const peer_message& message,
                                                               protocol::format_version format);
/// The message that a frame's payload holds.
tl::expected<peer_message, protocol::decode_error> decode_payload(
    std::string_view payload, protocol::format_version format = protocol::newest_format);
/// Number of the kind that a payload says it is of; nothing when it is too short.
std::optional<std::uint32_t> kind_of_payload(std::string_view payload);

}  // namespace tallyfold::messaging
