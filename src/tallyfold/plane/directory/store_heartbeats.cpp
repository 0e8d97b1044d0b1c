#include "tallyfold/plane/directory/store_heartbeats.hpp"

#include <algorithm>

namespace tallyfold::directory {

using turns::store_id;
using turns::store_member;

void store_heartbeats::start(instant now) {
    leading_since_ = now;
    stores_.clear();
}

void store_heartbeats::on_report(const store_report& report, instant now) {
    stores_[report.member.id] = {report, now};
}

bool store_heartbeats::reported_within(store_id id, duration limit, instant now) const {
    const auto found = stores_.find(id);
    return found != stores_.end() && now - found->second.received_at <= limit;
}

duration store_heartbeats::silent_for(store_id id, instant now) const {
    const auto found = stores_.find(id);
    return now - (found == stores_.end() ? leading_since_ : found->second.received_at);
}

bool store_heartbeats::is_replaced(const store_member& member, duration limit, instant now) const {
    const auto old = stores_.find(member.id);
    const instant received_at = old == stores_.end() ? instant::min() : old->second.received_at;
    return std::any_of(stores_.begin(), stores_.end(), [&](const auto& entry) {
        const store_member& other = entry.second.report.member;
        return other.node == member.node && other.id != member.id &&
               reported_within(other.id, limit, now) && entry.second.received_at > received_at;
    });
}

const store_member& store_heartbeats::latest(const store_member& known) const {
    const auto found = stores_.find(known.id);
    return found == stores_.end() ? known : found->second.report.member;
}

turns::map_epoch store_heartbeats::copied_epoch(store_id id) const {
    const auto found = stores_.find(id);
    return found == stores_.end() ? 0 : found->second.report.copied_epoch;
}

}  // namespace tallyfold::directory
