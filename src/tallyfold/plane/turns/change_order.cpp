#include "tallyfold/plane/turns/change_order.hpp"

#include <utility>

#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::turns {

request_key key_of(const std::string& request) {
    return stable_hash(request);
}

void change_order::record(const std::string& request, instant now) {
    const request_key key = key_of(request);
    change_sequence& sequence = sequences_[key];
    // Sequence numbers start at 1, so 0 marks a new request.
    if (sequence != 0) {
        entries_.erase(sequence);
    }
    sequence = ++last_;
    entries_.emplace_hint(entries_.end(), sequence, entry{key, request, now});
}

void change_order::erase(const std::string& request) {
    const auto found = sequences_.find(key_of(request));
    if (found != sequences_.end()) {
        entries_.erase(found->second);
        sequences_.erase(found);
    }
}

const std::string* change_order::request_of(request_key key) const {
    const auto found = sequences_.find(key);
    return found == sequences_.end() ? nullptr : &entries_.at(found->second).request;
}

}  // namespace tallyfold::turns
