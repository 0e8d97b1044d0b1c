#include "tallyfold/directory/store_planner.hpp"

#include <algorithm>

namespace tallyfold::directory {

using turns::store_id;
using turns::store_map;
using turns::store_member;

namespace {

bool same_members(std::vector<store_member> left, std::vector<store_member> right) {
    const auto by_id = [](const store_member& one, const store_member& other) {
        return one.id < other.id;
    };
    std::sort(left.begin(), left.end(), by_id);
    std::sort(right.begin(), right.end(), by_id);
    return left == right;
}

}  // namespace

void store_planner::start(instant now) {
    started_ = now;
    stores_.clear();
}

void store_planner::on_report(const store_report& report, instant now) {
    stores_[report.member.id] = {report, now};
}

bool store_planner::live(store_id id, instant now) const {
    const auto found = stores_.find(id);
    return found != stores_.end() && now - found->second.heard <= settings_.live;
}

bool store_planner::silent(store_id id, instant now) const {
    const auto found = stores_.find(id);
    const instant heard = found == stores_.end() ? started_ : found->second.heard;
    return now - heard > settings_.silence;
}

std::vector<store_member> store_planner::wanted(const directory_state& state, instant now) const {
    const store_map& map = state.map();
    std::vector<store_member> members;
    // A disk whose machine has since reported another one is gone.
    const auto replaced = [&](const store_member& member) {
        const auto old = stores_.find(member.id);
        const instant heard = old == stores_.end() ? instant::min() : old->second.heard;
        return std::any_of(stores_.begin(), stores_.end(), [&](const auto& entry) {
            const store_member& other = entry.second.report.member;
            return other.node == member.node && other.id != member.id && live(other.id, now) &&
                   entry.second.heard > heard;
        });
    };
    for (const store_member& member : map.current) {
        const auto found = stores_.find(member.id);
        const bool retired = state.retired().contains(member.id);
        if (!retired && !replaced(member)) {
            // The address may have changed with a restart.
            members.push_back(found == stores_.end() ? member : found->second.report.member);
        }
    }
    for (const auto& [id, entry] : stores_) {
        const store_member& member = entry.report.member;
        const bool known = std::find(members.begin(), members.end(), member) != members.end();
        const bool gone = state.retired().contains(id) || replaced(member);
        if (!known && live(id, now) && !gone) {
            members.push_back(member);
        }
    }
    // Leave silent ones out while enough remain.
    for (auto position = members.begin(); position != members.end();) {
        const bool leaves = silent(position->id, now) && members.size() > settings_.fewest_stores();
        position = leaves ? members.erase(position) : position + 1;
    }
    return members;
}

std::optional<store_map> store_planner::finish(const directory_state& state, instant now) const {
    const store_map& map = state.map();
    const bool copied =
        std::all_of(map.next.begin(), map.next.end(), [&](const store_member& member) {
            const auto found = stores_.find(member.id);
            return found != stores_.end() && found->second.report.copied_epoch == map.epoch;
        });
    if (copied) {
        return store_map{map.epoch + 1, map.next, {}};
    }
    // A joining store that died would hold the change up for ever: plan again without it.
    const bool stuck =
        std::any_of(map.next.begin(), map.next.end(), [&](const store_member& member) {
            const auto found = stores_.find(member.id);
            const bool copied_here =
                found != stores_.end() && found->second.report.copied_epoch == map.epoch;
            return !copied_here && !live(member.id, now) && now - started_ > settings_.live;
        });
    if (!stuck) {
        return std::nullopt;
    }
    std::vector<store_member> members = wanted(state, now);
    if (same_members(members, map.next)) {
        return std::nullopt;
    }
    return store_map{map.epoch + 1, map.current, std::move(members)};
}

std::optional<store_map> store_planner::plan(const directory_state& state, instant now) const {
    const store_map& map = state.map();
    if (map.current.empty()) {
        std::vector<store_member> members;
        for (const auto& [id, entry] : stores_) {
            if (live(id, now)) {
                members.push_back(entry.report.member);
            }
        }
        const bool enough = members.size() >= settings_.fewest_stores() ||
                            now - started_ > 4 * settings_.first_gathering;
        if (members.empty() || now - started_ < settings_.first_gathering || !enough) {
            return std::nullopt;
        }
        return store_map{map.epoch + 1, std::move(members), {}};
    }
    if (map.changing()) {
        return finish(state, now);
    }
    // What is silent is judged only once this leader has listened for a while.
    if (now - started_ < settings_.live) {
        return std::nullopt;
    }
    std::vector<store_member> members = wanted(state, now);
    if (members.empty() || same_members(members, map.current)) {
        return std::nullopt;
    }
    return store_map{map.epoch + 1, map.current, std::move(members)};
}

bool store_planner::may_retire(const directory_state& state, const node_name& node) const {
    const std::vector<store_member> members = state.map().all();
    const auto left = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const store_member& member) {
            return member.node != node && !state.retired().contains(member.id);
        }));
    return left >= settings_.fewest_stores();
}

}  // namespace tallyfold::directory
