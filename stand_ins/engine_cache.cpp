/// @file
/// Prefix cache of the emulated engine: a tree with one node per message. Evicts leaves in order
/// of retention value, then of last use.

#include <algorithm>

#include "stand_ins/engine_core.hpp"

namespace tallyfold::stand_ins {

using scheduling::prefix_hash;
using scheduling::prefix_point;

void engine_core::index_if_evictable(const cache_node& node) {
    if (node.users == 0 && node.children == 0) {
        evictable_.insert({node.value, node.used, node.point.hash});
    }
}

void engine_core::unindex(const cache_node& node) {
    evictable_.erase({node.value, node.used, node.point.hash});
}

bool engine_core::make_room(token_count needed, instant now) {
    while (cached_tokens_ + needed > settings_.cache_tokens && !evictable_.empty()) {
        const prefix_hash victim = std::get<prefix_hash>(*evictable_.begin());
        publish(false, cache_.at(victim).point, now);
        remove_node(victim);
    }
    return cached_tokens_ + needed <= settings_.cache_tokens;
}

void engine_core::insert_node(prefix_hash parent, const prefix_point& point, token_count tokens,
                              const program_id& program, instant now) {
    if (cache_.contains(point.hash) || !make_room(tokens, now)) {
        return;
    }
    const auto above = cache_.find(parent);
    if (above == cache_.end() && parent != 0) {
        return;  // A node is unusable without its parent.
    }
    cache_node node;
    node.parent = parent;
    node.point = point;
    node.tokens = tokens;
    node.program = program;
    node.used = now;
    if (above != cache_.end()) {
        unindex(above->second);
        ++above->second.children;
        node.value = above->second.value;
        node.value_until = above->second.value_until;
    }
    cached_tokens_ += tokens;
    nodes_of_program_[program].insert(point.hash);
    const cache_node& stored = cache_.emplace(point.hash, std::move(node)).first->second;
    index_if_evictable(stored);
    publish(true, point, now);
}

void engine_core::remove_node(prefix_hash hash) {
    const auto found = cache_.find(hash);
    const cache_node node = found->second;
    unindex(node);
    cached_tokens_ -= node.tokens;
    const auto of_program = nodes_of_program_.find(node.program);
    of_program->second.erase(hash);
    if (of_program->second.empty()) {
        nodes_of_program_.erase(of_program);
    }
    cache_.erase(found);
    const auto above = cache_.find(node.parent);
    if (above != cache_.end()) {
        --above->second.children;
        index_if_evictable(above->second);
    }
}

void engine_core::retain(const scheduler::retain_cache& hint, instant now) {
    const auto found = nodes_of_program_.find(hint.program);
    if (found == nodes_of_program_.end()) {
        return;
    }
    for (const prefix_hash hash : found->second) {
        cache_node& node = cache_.at(hash);
        unindex(node);
        node.value = hint.value;
        node.value_until = now + hint.lease;
        index_if_evictable(node);
    }
}

void engine_core::release(const program_id& program, instant now) {
    // Removes leaves first; a node stays while it has children.
    bool removed = true;
    while (removed) {
        removed = false;
        const auto found = nodes_of_program_.find(program);
        if (found == nodes_of_program_.end()) {
            return;
        }
        const std::set<prefix_hash> hashes = found->second;
        for (const prefix_hash hash : hashes) {
            const cache_node& node = cache_.at(hash);
            if (node.users == 0 && node.children == 0) {
                publish(false, node.point, now);
                remove_node(hash);
                removed = true;
            }
        }
    }
}

token_count engine_core::cached_tokens_of(const program_id& program) const {
    const auto found = nodes_of_program_.find(program);
    token_count total = 0;
    if (found != nodes_of_program_.end()) {
        for (const prefix_hash hash : found->second) {
            total += cache_.at(hash).tokens;
        }
    }
    return total;
}

std::map<program_id, token_count> engine_core::held_programs() const {
    std::map<program_id, token_count> held;
    for (const auto& [program, hashes] : nodes_of_program_) {
        held[program] = cached_tokens_of(program);
    }
    return held;
}

exported_prefix engine_core::export_prefix(const program_id& program) const {
    exported_prefix exported;
    exported.program = program;
    const auto found = nodes_of_program_.find(program);
    if (found == nodes_of_program_.end()) {
        return exported;
    }
    for (const prefix_hash hash : found->second) {
        const cache_node& node = cache_.at(hash);
        exported.nodes.push_back({node.parent, node.point, node.tokens});
    }
    // Parents precede their children.
    std::sort(
        exported.nodes.begin(), exported.nodes.end(),
        [](const auto& left, const auto& right) { return left.point.tokens < right.point.tokens; });
    return exported;
}

void engine_core::import_prefix(const exported_prefix& prefix, instant now) {
    for (const exported_prefix::node& node : prefix.nodes) {
        insert_node(node.parent, node.point, node.tokens, prefix.program, now);
    }
}

}  // namespace tallyfold::stand_ins
