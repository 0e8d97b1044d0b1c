#include "tallyfold/scheduling/outlier_ejection.hpp"

#include <algorithm>

namespace tallyfold::scheduling {

void outlier_ejection::succeeded() {
    failure_score_ *= failure_decay;
    if (failure_score_ < recovered_score) {
        ejections_ = 0;
    }
}

void outlier_ejection::failed(double weight, bool may_eject, instant now) {
    failure_score_ = failure_score_ * failure_decay + weight;
    if (failure_score_ < ejection_threshold || !may_eject) {
        return;
    }
    const std::uint32_t doublings = std::min(ejections_, max_doublings);
    ejected_until_ = now + base_ejection_time * (1 << doublings);
    ++ejections_;
    failure_score_ = probation_score;
}

}  // namespace tallyfold::scheduling
