#include "tallyfold/plane/streams/origin_lookup.hpp"

namespace tallyfold::streams {

void origin_lookup::on_answer(turns::store_id store, const std::vector<stream_origin>& origins) {
    unanswered_.erase(store);
    origins_.insert(origins.begin(), origins.end());
}

lookup_state origin_lookup::state() const {
    if (origins_.size() > 1) {
        return lookup_state::ambiguous;
    }
    if (origins_.size() == 1 && unanswered_.size() <= max_unanswered_) {
        return lookup_state::found;
    }
    return unanswered_.empty() ? lookup_state::unknown : lookup_state::undecided;
}

}  // namespace tallyfold::streams
