#include "tallyfold/plane/turns/group_repair.hpp"

#include <algorithm>
#include <utility>

namespace tallyfold::turns {

void group_repair::set_group(const store_map& map, group_number group_count, instant now) {
    group_ = map.group;
    group_count_ = group_count;
    members_ = map.current;
    const auto self =
        std::find_if(members_.begin(), members_.end(),
                     [this](const store_member& member) { return member.id == self_; });
    if (self == members_.end()) {
        // A joining store copies everything once; a store outside the group has nothing to repair.
        members_.clear();
    } else {
        members_.erase(self);
    }
    std::erase_if(progress_,
                  [this](const auto& entry) { return find_member(entry.first) == nullptr; });
    for (const store_member& member : members_) {
        progress_.try_emplace(member.id, member_progress{{}, now});
    }
    if (source_ != 0 && find_member(source_) == nullptr) {
        end_source();
    }
}

const store_member* group_repair::find_member(store_id id) const {
    const auto found = std::find_if(members_.begin(), members_.end(),
                                    [id](const store_member& member) { return member.id == id; });
    return found == members_.end() ? nullptr : &*found;
}

void group_repair::end_source() {
    source_ = 0;
    stage_ = stage::idle;
    missing_.clear();
    covered_ = 0;
}

void group_repair::select_source(const reachability& reachable) {
    while (source_ == 0 && !round_.empty()) {
        const store_member* candidate = find_member(round_.front());
        round_.pop_front();
        if (candidate != nullptr && reachable(*candidate)) {
            source_ = candidate->id;
        }
    }
}

repair_order group_repair::order_for(const store_member& source) {
    ++operation_;
    if (missing_.empty()) {
        stage_ = stage::comparing;
        return {source, comparison_request{operation_, group_, group_count_,
                                           progress_[source.id].position}};
    }
    stage_ = stage::fetching;
    records_request request;
    request.operation = operation_;
    const std::size_t count = std::min(missing_.size(), max_requested_records);
    for (std::size_t index = 0; index < count; ++index) {
        request.keys.push_back(missing_[index].key);
    }
    return {source, std::move(request)};
}

std::optional<repair_order> group_repair::next(const reachability& reachable, instant now) {
    if (group_count_ == 0 || stage_ == stage::writing) {
        return std::nullopt;
    }
    if (stage_ != stage::idle) {
        if (!timeout_.expired(now)) {
            return std::nullopt;
        }
        end_source();
    }
    if (source_ == 0 && round_.empty() && now >= next_round_at_) {
        next_round_at_ = now + round_interval;
        for (const store_member& member : members_) {
            round_.push_back(member.id);
        }
    }
    select_source(reachable);
    const store_member* source = source_ == 0 ? nullptr : find_member(source_);
    if (source == nullptr) {
        return std::nullopt;
    }
    timeout_.page_requested(now);
    return order_for(*source);
}

void group_repair::finish_page(instant now) {
    member_progress& progress = progress_[source_];
    progress.position = page_position_;
    stage_ = stage::idle;
    if (page_is_last_) {
        progress.compared_at = now;
        end_source();
    }
}

void group_repair::on_reply(const comparison_reply& reply, const turn_table& table, instant now) {
    if (stage_ != stage::comparing || reply.operation != operation_ || reply.store != source_) {
        return;
    }
    timeout_.page_received(now);
    page_position_ = reply.position;
    page_is_last_ = reply.complete;
    for (const request_summary& summary : reply.changed) {
        if (table.lacks(summary)) {
            missing_.push_back(summary);
        }
    }
    stage_ = stage::idle;
    if (missing_.empty()) {
        finish_page(now);
    }
}

bool group_repair::on_reply(const records_reply& reply, instant now) {
    if (stage_ != stage::fetching || reply.operation != operation_ || reply.store != source_) {
        return false;
    }
    timeout_.page_received(now);
    covered_ = std::min<std::size_t>(reply.covered, missing_.size());
    if (covered_ == 0) {
        end_source();
        return false;
    }
    stage_ = stage::writing;
    return true;
}

void group_repair::on_records_written(const turn_table& table, instant now) {
    if (stage_ != stage::writing) {
        return;
    }
    const auto covered_end = missing_.begin() + static_cast<std::ptrdiff_t>(covered_);
    const auto still_missing =
        std::count_if(missing_.begin(), covered_end,
                      [&](const request_summary& summary) { return table.lacks(summary); });
    const std::size_t fetched = covered_ - static_cast<std::size_t>(still_missing);
    repaired_ += fetched;
    if (fetched == 0) {
        // The write failed, or the source no longer holds any of them.
        end_source();
        return;
    }
    missing_.erase(missing_.begin(), covered_end);
    covered_ = 0;
    stage_ = stage::idle;
    if (missing_.empty()) {
        finish_page(now);
    }
}

duration group_repair::oldest_comparison(instant now) const {
    duration oldest{};
    for (const auto& [store, progress] : progress_) {
        oldest = std::max(oldest, now - progress.compared_at);
    }
    return oldest;
}

}  // namespace tallyfold::turns
