#include "tallyfold/plane/turns/quorum_tracker.hpp"

namespace tallyfold::turns {

std::string describe(const answer_count& count) {
    return "store_answers=" + std::to_string(count.answers) +
           " durable=" + std::to_string(count.durable) +
           " unlisted=" + std::to_string(count.unlisted) +
           " changing=" + (count.changing ? "yes" : "no") +
           " after_loss=" + (count.after_loss ? "yes" : "no");
}

bool is_write_quorum(const store_map& map, const std::set<store_id>& durable) {
    return map.has_current_quorum(durable) && (!map.changing() || is_majority(map.next, durable));
}

void quorum_tracker::switch_to_map(const store_map& map) {
    if (map.epoch <= map_.epoch) {
        return;
    }
    map_ = map;
    answered_.clear();
    durable_.clear();
}

void quorum_tracker::add(store_id store, bool durable) {
    answered_.insert(store);
    if (durable) {
        durable_.insert(store);
    }
}

std::vector<store_member> quorum_tracker::unanswered() const {
    std::vector<store_member> remaining;
    for (const store_member& member : map_.all()) {
        if (!durable_.contains(member.id)) {
            remaining.push_back(member);
        }
    }
    return remaining;
}

answer_count quorum_tracker::count() const {
    answer_count count;
    count.answers = answered_.size();
    count.changing = map_.changing();
    count.after_loss = map_.after_loss;
    for (const store_id store : answered_) {
        const bool listed = map_.contains(store);
        count.durable += listed && durable_.contains(store) ? 1 : 0;
        count.unlisted += listed ? 0 : 1;
    }
    return count;
}

}  // namespace tallyfold::turns
