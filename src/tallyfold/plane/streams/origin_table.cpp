#include "tallyfold/plane/streams/origin_table.hpp"

#include <algorithm>

namespace tallyfold::streams {

namespace {

/// Two origins suffice to show that a stream is ambiguous.
constexpr std::size_t max_origins = 2;

}  // namespace

void origin_table::remove_first_to_expire() {
    streams_.erase(expiries_.begin()->second);
    expiries_.erase(expiries_.begin());
}

void origin_table::remove_expired(instant now) {
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        remove_first_to_expire();
    }
}

void origin_table::record(const origin_record& record, instant now) {
    remove_expired(now);
    const duration lifetime =
        std::min<duration>(std::chrono::milliseconds(record.lifetime_ms), max_lifetime);
    const auto [found, is_new] = streams_.try_emplace(record.stream);
    entry& stream = found->second;
    if (stream.origins.size() < max_origins) {
        stream.origins.insert(record.origin);
    }
    const instant expires_at = std::max(stream.expires_at, now + lifetime);
    if (is_new || expires_at != stream.expires_at) {
        const auto [first, last] = expiries_.equal_range(stream.expires_at);
        const auto known = std::find_if(
            first, last, [&](const auto& expiry) { return expiry.second == record.stream; });
        if (known != last) {
            expiries_.erase(known);
        }
        expiries_.emplace(expires_at, record.stream);
        stream.expires_at = expires_at;
    }
    if (streams_.size() > max_streams) {
        remove_first_to_expire();
    }
}

std::vector<stream_origin> origin_table::find(const stream_id& stream, instant now) const {
    const auto found = streams_.find(stream);
    if (found == streams_.end() || found->second.expires_at <= now) {
        return {};
    }
    return {found->second.origins.begin(), found->second.origins.end()};
}

}  // namespace tallyfold::streams
