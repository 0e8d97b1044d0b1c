#include "tallyfold/plane/decisions/dispatcher_choice.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

bool dispatcher_choice::is_silent(const node_name& node, instant now) const {
    const auto found = silent_.find(node);
    return found != silent_.end() && now < found->second.until;
}

bool dispatcher_choice::unanswered(const node_name& node, instant asked_at, instant now) {
    const auto [found, is_new] = silent_.try_emplace(node);
    silence& known = found->second;
    if (!is_new) {
        if (asked_at <= known.since || now < known.until) {
            return false;
        }
        known.delay = std::min(2 * known.delay, max_retry_delay);
    }
    known.since = now;
    known.until = now + known.delay;
    return true;
}

bool dispatcher_choice::answered(const node_name& node) {
    return silent_.erase(node) > 0;
}

}  // namespace tallyfold::forwarding
