#include "tallyfold/scheduling/cache_map.hpp"

#include <algorithm>

namespace tallyfold::scheduling {

std::uint32_t cache_map::engine_id(const backend_name& engine) {
    const auto [position, added] =
        engine_ids_.try_emplace(engine, static_cast<std::uint32_t>(engine_names_.size()));
    if (added) {
        engine_names_.push_back(engine);
    }
    return position->second;
}

void cache_map::stored(const backend_name& engine, const prefix_point& point) {
    const std::uint32_t id = engine_id(engine);
    auto [position, added] = entries_.try_emplace(point.hash);
    entry& known = position->second;
    if (added) {
        lru_order_.push_front(point.hash);
    } else {
        lru_order_.splice(lru_order_.begin(), lru_order_, known.lru_position);
    }
    known.lru_position = lru_order_.begin();
    const auto holder = std::find_if(known.holders.begin(), known.holders.end(),
                                     [&](const auto& other) { return other.engine == id; });
    if (holder == known.holders.end()) {
        known.holders.push_back({id, point.tokens});
    } else {
        holder->tokens = point.tokens;
    }
    if (entries_.size() > capacity_) {
        evict_oldest();
    }
}

void cache_map::evict_oldest() {
    entries_.erase(lru_order_.back());
    lru_order_.pop_back();
}

void cache_map::removed(const backend_name& engine, prefix_hash hash) {
    const auto found = entries_.find(hash);
    if (found == entries_.end()) {
        return;
    }
    const std::uint32_t id = engine_id(engine);
    std::erase_if(found->second.holders, [id](const auto& holder) { return holder.engine == id; });
    if (found->second.holders.empty()) {
        lru_order_.erase(found->second.lru_position);
        entries_.erase(found);
    }
}

void cache_map::remove_engine(const backend_name& engine) {
    const std::uint32_t id = engine_id(engine);
    for (auto position = entries_.begin(); position != entries_.end();) {
        std::erase_if(position->second.holders,
                      [id](const auto& holder) { return holder.engine == id; });
        if (position->second.holders.empty()) {
            lru_order_.erase(position->second.lru_position);
            position = entries_.erase(position);
        } else {
            ++position;
        }
    }
}

std::vector<cached_prefix> cache_map::find(const std::vector<prefix_point>& points) const {
    std::vector<cached_prefix> matches;
    std::vector<std::uint32_t> matched;
    for (auto point = points.rbegin(); point != points.rend(); ++point) {
        const auto found = entries_.find(point->hash);
        if (found == entries_.end()) {
            continue;
        }
        const auto point_begin = static_cast<std::ptrdiff_t>(matches.size());
        for (const auto& [id, tokens] : found->second.holders) {
            if (std::find(matched.begin(), matched.end(), id) == matched.end()) {
                matched.push_back(id);
                matches.push_back(
                    {engine_names_[id], point->hash, std::min(tokens, point->tokens)});
            }
        }
        std::stable_sort(
            matches.begin() + point_begin, matches.end(),
            [](const auto& left, const auto& right) { return left.tokens > right.tokens; });
        if (matches.size() >= matches_limit) {
            break;
        }
    }
    return matches;
}

}  // namespace tallyfold::scheduling
