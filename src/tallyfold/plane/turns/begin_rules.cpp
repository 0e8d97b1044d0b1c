#include "tallyfold/plane/turns/begin_rules.hpp"

namespace tallyfold::turns {

begin_outcome decide_begin(const begin_inputs& evidence) {
    if (!evidence.reserved) {
        return begin_outcome::pending;
    }
    if (evidence.previous == previous_turn::not_held) {
        return begin_outcome::unknown_previous;
    }
    const bool bounded = evidence.budget > 0;
    if (bounded && evidence.used_tokens + evidence.max_tokens > evidence.budget) {
        return begin_outcome::over_budget;
    }
    return evidence.history_complete ? begin_outcome::admitted : begin_outcome::pending;
}

bool is_known_absent(const absence_inputs& evidence) {
    if (evidence.own_group_after_loss) {
        return false;
    }
    return evidence.is_only_group || evidence.denied_by_other_groups;
}

}  // namespace tallyfold::turns
