#include "tallyfold/plane/directory/configuration_source.hpp"

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/base/protocol/compression.hpp"
#include "tallyfold/plane/routing/configuration_change.hpp"

namespace tallyfold::directory {

namespace {

/// Maximum number of versions from which differences can be computed. Nodes that hold an older one
/// get the full configuration. Nodes rarely lag by more changes than occur during a fetch. Each
/// version takes about 2 MB with 6,000 routes.
constexpr std::size_t max_versions = 4;
/// Maximum number of contents kept for nodes that are still fetching them: two for each version.
constexpr std::size_t max_contents = 8;
/// Maximum size of a part in bytes; small, so that heartbeats on the same connection are not
/// delayed: a part takes 9 ms on a link of 30 Mbit/s.
constexpr std::size_t max_part_bytes = 32U << 10U;

const routing::configuration& empty_configuration() {
    static const routing::configuration empty;
    return empty;
}

}  // namespace

void configuration_source::publish(const configuration_pointer& newest) {
    if (newest->version <= (versions_.empty() ? routing::no_version : versions_.back()->version)) {
        return;
    }
    versions_.push_back(newest);
    if (versions_.size() > max_versions) {
        versions_.pop_front();
    }
}

const routing::configuration& configuration_source::base_for(
    routing::configuration_version version) const {
    for (const configuration_pointer& each : versions_) {
        if (each->version == version) {
            return *each;
        }
    }
    return empty_configuration();
}

const configuration_source::content& configuration_source::content_for(
    const configuration_request& request) {
    for (const content& each : contents_) {
        if (each.id == request.content) {
            return each;
        }
    }
    const routing::configuration& newest = *versions_.back();
    const routing::configuration& base =
        request.whole ? empty_configuration() : base_for(request.held);
    for (const content& each : contents_) {
        if (each.base == base.version && each.version == newest.version) {
            return each;
        }
    }
    content created;
    created.base = base.version;
    created.version = newest.version;
    created.bytes = protocol::compress(protocol::encode(routing::difference(base, newest)));
    created.id = stable_hash(created.bytes);
    contents_.push_back(std::move(created));
    if (contents_.size() > max_contents) {
        contents_.pop_front();
    }
    return contents_.back();
}

configuration_part configuration_source::answer(const configuration_request& request) {
    configuration_part part;
    if (versions_.empty() || versions_.back()->version <= request.held) {
        return part;
    }
    const content& selected = content_for(request);
    part.content = selected.id;
    part.version = selected.version;
    part.size = selected.bytes.size();
    const bool continues_content =
        request.content == selected.id && request.offset < selected.bytes.size();
    part.offset = continues_content ? request.offset : 0;
    part.bytes = selected.bytes.substr(part.offset, max_part_bytes);
    return part;
}

}  // namespace tallyfold::directory
