#include "tallyfold/plane/turns/begin_rules.hpp"

namespace tallyfold::turns {

begin_outcome decide_begin(const begin_inputs& inputs) {
    if (!inputs.reserved) {
        return begin_outcome::pending;
    }
    if (inputs.previous == previous_turn::not_held) {
        return begin_outcome::unknown_previous;
    }
    const bool bounded = inputs.budget > 0;
    if (bounded && inputs.used_tokens + inputs.max_tokens > inputs.budget) {
        return begin_outcome::over_budget;
    }
    return inputs.history_complete ? begin_outcome::admitted : begin_outcome::pending;
}

bool is_known_absent(const absence_inputs& inputs) {
    if (inputs.own_group_after_loss) {
        return false;
    }
    return inputs.is_only_group || inputs.denied_by_other_groups;
}

}  // namespace tallyfold::turns
