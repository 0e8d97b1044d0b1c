#include "tallyfold/plane/messaging/format_negotiation.hpp"

#include <algorithm>

namespace tallyfold::messaging {

namespace {

/// Replaces the store's identifier in an offer; its two lowest bytes hold the format numbers.
/// Offers have operation number 0, which no real reply has: operations are numbered from 1.
constexpr turns::store_id offer_marker = 0x7466'6F72'6D73'0000U;
constexpr unsigned newest_supported_shift = 8;
constexpr turns::store_id number_mask = 0xFF;

format_number number_of(protocol::format_version format) {
    return static_cast<format_number>(format);
}

/// The format with this number, or the newest one of this build when that is older.
protocol::format_version newest_usable(format_number number) {
    return std::min(protocol::newest_format, static_cast<protocol::format_version>(number));
}

}  // namespace

peer_message to_message(const format_offer& offer) {
    turns::find_reply carrier;
    carrier.store = offer_marker |
                    turns::store_id{offer.newest_supported} << newest_supported_shift |
                    offer.next_format;
    return carrier;
}

std::optional<format_offer> parse_offer(const peer_message& message) {
    const auto* carrier = std::get_if<turns::find_reply>(&message);
    const turns::store_id numbers = number_mask << newest_supported_shift | number_mask;
    if (carrier == nullptr || carrier->operation != 0 ||
        (carrier->store & ~numbers) != offer_marker) {
        return std::nullopt;
    }
    return format_offer{
        static_cast<format_number>(carrier->store >> newest_supported_shift & number_mask),
        static_cast<format_number>(carrier->store & number_mask)};
}

format_offer format_negotiation::initial_offer() const {
    return {number_of(protocol::newest_format), number_of(send_format_)};
}

std::optional<format_offer> format_negotiation::receive(const format_offer& offer) {
    receive_format_ = newest_usable(offer.next_format);
    common_format_ = newest_usable(offer.newest_supported);
    if (common_format_ == send_format_) {
        return std::nullopt;
    }
    send_format_ = common_format_;
    return format_offer{number_of(protocol::newest_format), number_of(send_format_)};
}

}  // namespace tallyfold::messaging
