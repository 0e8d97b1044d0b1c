#include "tallyfold/plane/directory/configuration_fetch.hpp"

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/base/protocol/compression.hpp"
#include "tallyfold/plane/routing/configuration_change.hpp"

namespace tallyfold::directory {

namespace {

/// Time without a part after which the fetch continues at another node that holds a newer version.
/// Longer than the 0.3 s for which a directory node may be busy with a large change; a part usually
/// takes 15 ms.
constexpr duration part_timeout = std::chrono::milliseconds(400);
/// Maximum size of a content in bytes, compressed and decompressed; a larger one is rejected as
/// corrupt. Eight times the largest operator's request.
constexpr std::size_t max_content_bytes = 64U << 20U;

/// Decodes a content and applies it to `base`.
tl::expected<routing::configuration, fetch_problem> decode_configuration(
    const std::string& content, const routing::configuration& base) {
    const auto bytes = protocol::decompress(content, max_content_bytes);
    if (!bytes) {
        return tl::unexpected(fetch_problem{fetch_failure::unreadable, bytes.error().reason});
    }
    const auto change = protocol::decode<routing::configuration_change>(*bytes);
    if (!change) {
        return tl::unexpected(fetch_problem{fetch_failure::unreadable, change.error().reason});
    }
    const bool is_full = change->base == routing::no_version;
    auto result = routing::apply(*change, is_full ? routing::configuration{} : base);
    if (!result) {
        const bool is_base_mismatch = result.error() == routing::change_failure::base_mismatch;
        return tl::unexpected(
            is_base_mismatch
                ? fetch_problem{fetch_failure::base_mismatch, "base version is not held"}
                : fetch_problem{fetch_failure::result_mismatch, "result digest does not match"});
    }
    return std::move(*result);
}

}  // namespace

routing::configuration_version configuration_fetch::version() const {
    return held_->version;
}

std::optional<duration> configuration_fetch::fetch_duration(instant now) const {
    return pending_node_.empty() ? std::nullopt : std::optional<duration>(now - started_at_);
}

configuration_request configuration_fetch::next_request() const {
    configuration_request request;
    request.held = held_->version;
    request.whole = needs_full_;
    request.content = content_id_;
    request.offset = received_bytes_.size();
    return request;
}

std::optional<configuration_request> configuration_fetch::on_version_report(
    const node_name& node, routing::configuration_version version, instant now) {
    if (version <= held_->version) {
        return std::nullopt;
    }
    const bool request_pending = !pending_node_.empty() && now - requested_at_ < part_timeout;
    if (request_pending) {
        return std::nullopt;
    }
    if (pending_node_.empty()) {
        started_at_ = now;
    }
    pending_node_ = node;
    requested_at_ = now;
    return next_request();
}

bool configuration_fetch::accept_full_configuration(const configuration_pointer& whole) {
    if (whole->version <= held_->version) {
        return false;
    }
    held_ = whole;
    return true;
}

void configuration_fetch::on_disconnect(const node_name& node) {
    if (pending_node_ == node) {
        pending_node_.clear();
    }
}

void configuration_fetch::discard_content() {
    content_id_ = 0;
    received_bytes_.clear();
}

configuration_fetch::progress configuration_fetch::receive(const node_name& from,
                                                           const configuration_part& part,
                                                           instant now) {
    if (from != pending_node_) {
        // A late part from a node that has timed out or disconnected.
        return {};
    }
    const bool continues_content =
        part.content == content_id_ && part.offset == received_bytes_.size();
    const bool starts_content = part.offset == 0;
    const bool is_usable = part.size <= max_content_bytes && !part.bytes.empty() &&
                           (continues_content || starts_content);
    if (part.version <= held_->version || !is_usable) {
        pending_node_.clear();
        discard_content();
        return {};
    }
    if (!continues_content) {
        discard_content();
        content_id_ = part.content;
    }
    received_bytes_ += part.bytes;
    if (received_bytes_.size() >= part.size) {
        return complete_fetch();
    }
    requested_at_ = now;
    return {next_request(), nullptr, std::nullopt};
}

configuration_fetch::progress configuration_fetch::complete_fetch() {
    auto result = decode_configuration(received_bytes_, *held_);
    pending_node_.clear();
    discard_content();
    needs_full_ = !result;
    if (!result) {
        return {std::nullopt, nullptr, result.error()};
    }
    if (result->version <= held_->version) {
        return {};
    }
    held_ = std::make_shared<const routing::configuration>(std::move(*result));
    return {std::nullopt, held_, std::nullopt};
}

}  // namespace tallyfold::directory
