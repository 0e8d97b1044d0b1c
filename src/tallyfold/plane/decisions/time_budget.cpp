#include "tallyfold/plane/decisions/time_budget.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

time_budget::time_budget(instant received, std::optional<duration> caller_timeout,
                         duration route_timeout)
    : deadline_(received +
                std::min(caller_timeout.value_or(default_caller_timeout), route_timeout)) {}

duration time_budget::admission_wait(instant now) const {
    return std::chrono::duration_cast<duration>(left(now) * admission_share);
}

instant time_budget::connect_deadline(instant now) const {
    return std::min(deadline_, now + connect_limit);
}

instant time_budget::attempt_deadline(instant now, bool another_may_follow) const {
    if (!another_may_follow) {
        return deadline_;
    }
    return now + std::chrono::duration_cast<duration>(left(now) * attempt_share);
}

}  // namespace tallyfold::forwarding
