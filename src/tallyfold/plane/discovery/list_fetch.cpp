#include "tallyfold/plane/discovery/list_fetch.hpp"

#include <algorithm>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/base/protocol/compression.hpp"

namespace tallyfold::discovery {

namespace {

/// Time without a part after which the fetch continues at another node. Doubles with each timeout
/// in a row: directory nodes that are busy with a start of all nodes answer late, and more requests
/// would delay them further.
constexpr duration first_part_timeout = std::chrono::milliseconds(400);
constexpr unsigned max_doublings = 3;
/// Maximum size of a content in bytes, compressed and decompressed; a larger one is rejected as
/// corrupt.
constexpr std::size_t max_content_bytes = 64U << 20U;

duration part_timeout(unsigned timeouts) {
    return first_part_timeout * (1U << std::min(timeouts, max_doublings));
}

}  // namespace

list_request list_fetch::next_request() const {
    list_request request;
    request.held = needs_full_ ? 0 : list_.fingerprint();
    request.content = content_id_;
    request.offset = received_bytes_.size();
    return request;
}

std::optional<list_request> list_fetch::on_status(const node_name& node, const list_status& status,
                                                  instant now) {
    const instant polled_at = now - std::chrono::milliseconds(status.age_ms);
    if (status.list == 0 || (list_.known() && polled_at <= list_.last_polled_at())) {
        return std::nullopt;
    }
    list_.set_pages(status.pages);
    if (status.list == list_.fingerprint()) {
        list_.confirm(polled_at);
        return std::nullopt;
    }
    if (!pending_node_.empty()) {
        if (now - requested_at_ < part_timeout(timeouts_)) {
            return std::nullopt;
        }
        ++timeouts_;
    }
    pending_node_ = node;
    requested_at_ = now;
    return next_request();
}

void list_fetch::end_request() {
    pending_node_.clear();
    timeouts_ = 0;
}

void list_fetch::on_disconnect(const node_name& node) {
    if (pending_node_ == node) {
        pending_node_.clear();
    }
}

void list_fetch::discard_content() {
    content_id_ = 0;
    received_bytes_.clear();
}

list_fetch::progress list_fetch::receive(const node_name& from, const list_part& part,
                                         instant now) {
    if (from != pending_node_) {
        // A late part from a node that has timed out or disconnected.
        return {};
    }
    const bool continues = part.content == content_id_ && part.offset == received_bytes_.size();
    const bool is_usable =
        part.size <= max_content_bytes && !part.bytes.empty() && (continues || part.offset == 0);
    if (!is_usable) {
        end_request();
        discard_content();
        return {};
    }
    if (!continues) {
        discard_content();
        content_id_ = part.content;
    }
    received_bytes_ += part.bytes;
    timeouts_ = 0;
    if (received_bytes_.size() >= part.size) {
        return complete(now, now - std::chrono::milliseconds(part.age_ms));
    }
    requested_at_ = now;
    return {next_request(), std::nullopt, {}};
}

list_fetch::progress list_fetch::complete(instant now, instant polled_at) {
    const auto bytes = protocol::decompress(received_bytes_, max_content_bytes);
    end_request();
    discard_content();
    const auto content =
        bytes ? protocol::decode<list_content>(*bytes)
              : tl::expected<list_content, protocol::decode_error>(tl::unexpected(bytes.error()));
    needs_full_ = true;
    if (!content) {
        return {std::nullopt, std::nullopt, content.error().reason};
    }
    if (list_.known() && polled_at <= list_.last_polled_at()) {
        needs_full_ = false;
        return {};
    }
    auto changes = list_.apply(*content, std::min(now, polled_at));
    if (!changes) {
        return {std::nullopt, std::nullopt, text_of(changes.error())};
    }
    needs_full_ = false;
    return {std::nullopt, std::move(*changes), {}};
}

}  // namespace tallyfold::discovery
