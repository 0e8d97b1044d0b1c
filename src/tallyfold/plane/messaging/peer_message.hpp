#pragma once
/// @file
/// Messages between nodes of the forwarding plane, and their encoding as frames.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/consensus/messages.hpp"
#include "tallyfold/plane/directory/messages.hpp"
#include "tallyfold/plane/discovery/list_messages.hpp"
#include "tallyfold/plane/dispatch/messages.hpp"
#include "tallyfold/plane/poison/messages.hpp"
#include "tallyfold/plane/streams/messages.hpp"
#include "tallyfold/plane/tenants/messages.hpp"
#include "tallyfold/plane/turns/messages.hpp"

namespace tallyfold::messaging {

/// Consensus message of a replica, with the address of the sending node.
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
                 directory::configuration_part, discovery::list_status, discovery::list_request,
                 discovery::list_part, directory::evacuation_status, dispatch::place_request,
                 dispatch::place_answer, dispatch::place_release, dispatch::place_renewal,
                 streams::origin_record, streams::origin_query, streams::origin_answer,
                 poison::crash_report, poison::crash_status, turns::comparison_request,
                 turns::comparison_reply, turns::records_request, turns::records_reply>;

/// Limit of a frame's payload, far above the size of any valid message; longer frames are rejected.
constexpr std::size_t max_frame_payload_bytes = 32U << 20U;
/// A frame starts with the length of its payload in four bytes.
constexpr std::size_t frame_header_size = 4;

/// Number of message kinds in the earlier formats; builds without newer ones can't decode others.
constexpr std::size_t kinds_in_first_format = 14;
constexpr std::size_t kinds_in_second_format = 19;
constexpr std::size_t kinds_in_third_format = 23;
constexpr std::size_t kinds_in_fourth_format = 27;
constexpr std::size_t kinds_in_fifth_format = 30;
constexpr std::size_t kinds_in_sixth_format = 32;

/// Encodes a message as a frame in the newest format.
std::string encode_frame(const peer_message& message);
/// Encodes a message as a frame; an error when the format can't represent the message.
tl::expected<std::string, protocol::encode_error> encode_frame(const peer_message& message,
                                                               protocol::format_version format);
/// Decodes the payload of a frame.
tl::expected<peer_message, protocol::decode_error> decode_payload(
    std::string_view payload, protocol::format_version format = protocol::newest_format);
/// Number of the message kind in a payload; nullopt when the payload is too short.
std::optional<std::uint32_t> kind_of_payload(std::string_view payload);

}  // namespace tallyfold::messaging
