#include "tallyfold/listing/types.hpp"

#include <algorithm>

#include "tallyfold/common/hash.hpp"
#include "tallyfold/protocol/binary_codec.hpp"

namespace tallyfold::listing {

list_fingerprint fingerprint_of(const std::vector<listed_backend>& backends) {
    return std::max<list_fingerprint>(1, stable_hash(protocol::encode(backends)));
}

bool list_memory::see(const std::vector<listed_backend>& backends, instant now) {
    const list_fingerprint fingerprint = fingerprint_of(backends);
    seen_ = now;
    if (fingerprint == fingerprint_) {
        return false;
    }
    fingerprint_ = fingerprint;
    backends_ = backends;
    return true;
}

bool list_memory::learn(const list_sight& sight, instant now) {
    const instant seen = now - std::chrono::milliseconds(sight.age_ms);
    if (known() && seen <= seen_) {
        return false;
    }
    if (sight.fingerprint == fingerprint_) {
        seen_ = seen;
        return false;
    }
    // Another list without its contents: it is told whole the next time.
    if (fingerprint_of(sight.backends) != sight.fingerprint) {
        return false;
    }
    seen_ = seen;
    fingerprint_ = sight.fingerprint;
    backends_ = sight.backends;
    return true;
}

std::vector<list_sight> list_memory::tell(list_fingerprint held, instant now) const {
    if (!known()) {
        return {};
    }
    list_sight sight;
    sight.fingerprint = fingerprint_;
    sight.age_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, to_milliseconds(now - seen_)));
    if (held != fingerprint_) {
        sight.backends = backends_;
    }
    return {sight};
}

}  // namespace tallyfold::listing
