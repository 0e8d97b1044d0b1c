#include "tallyfold/plane/resources/client_budget.hpp"

#include <algorithm>

namespace tallyfold::resources {

namespace {

/// Share of the process's memory for its clients; the rest holds code, tables and logs.
constexpr std::uint64_t client_memory_divisor = 2;
/// Minimum number of connections of a group, whatever the process has.
constexpr std::size_t min_connections = 8;

std::size_t share_of(std::size_t descriptors, std::size_t part, std::size_t whole) {
    return std::max(min_connections, descriptors * part / whole);
}

}  // namespace

std::string_view name_of(client_group group) {
    switch (group) {
        case client_group::callers:
            return "callers";
        case client_group::operators:
            return "operators";
        case client_group::readiness:
            return "readiness";
        case client_group::metrics:
            return "metrics";
        case client_group::peers:
            return "peers";
    }
    return "unknown";
}

std::string_view name_of(client_stage stage) {
    switch (stage) {
        case client_stage::connected:
            return "connected";
        case client_stage::reading:
            return "reading";
        case client_stage::kept:
            return "kept";
        case client_stage::serving:
            return "serving";
        case client_stage::closing:
            return "closing";
    }
    return "unknown";
}

budget_limits divide_resources(std::uint64_t memory_bytes, std::size_t descriptors) {
    budget_limits limits;
    limits.bytes = memory_bytes / client_memory_divisor;
    limits.large_bytes = limits.bytes / 3 * 2;
    const auto set = [&limits](client_group group, std::size_t count) {
        limits.connections[static_cast<std::size_t>(group)] = count;
    };
    // Callers and peers connect to different programs. What is left serves the connections that
    // the process opens itself, and its files.
    set(client_group::callers, share_of(descriptors, 5, 8));
    set(client_group::peers, share_of(descriptors, 5, 8));
    set(client_group::operators, share_of(descriptors, 1, 16));
    set(client_group::readiness, share_of(descriptors, 1, 32));
    set(client_group::metrics, share_of(descriptors, 1, 32));
    return limits;
}

client_budget::ordered_clients& client_budget::clients_in(client_group group, client_stage stage) {
    return ordered_[static_cast<std::size_t>(group)][static_cast<std::size_t>(stage)];
}

const client_budget::ordered_clients& client_budget::clients_in(client_group group,
                                                                client_stage stage) const {
    return ordered_[static_cast<std::size_t>(group)][static_cast<std::size_t>(stage)];
}

client_id client_budget::open(client_group group, instant now) {
    const client_id id = ++last_id_;
    client added;
    added.group = group;
    added.progressed = now;
    clients_.emplace(id, added);
    clients_in(group, added.stage).emplace(now, id);
    ++counts_[static_cast<std::size_t>(group)];
    return id;
}

void client_budget::close(client_id id) {
    const auto found = clients_.find(id);
    if (found == clients_.end()) {
        return;
    }
    // A smaller reservation is always granted.
    (void)reserve(id, 0);
    clients_in(found->second.group, found->second.stage).erase({found->second.progressed, id});
    --counts_[static_cast<std::size_t>(found->second.group)];
    clients_.erase(found);
}

void client_budget::move(client_id id, client& moved, client_stage stage, instant now) {
    clients_in(moved.group, moved.stage).erase({moved.progressed, id});
    moved.stage = stage;
    moved.progressed = now;
    moved.pending_bytes = 0;
    clients_in(moved.group, stage).emplace(now, id);
}

void client_budget::set_stage(client_id id, client_stage stage, instant now) {
    const auto found = clients_.find(id);
    if (found != clients_.end()) {
        move(id, found->second, stage, now);
    }
}

void client_budget::record_bytes(client_id id, std::uint64_t count, instant now) {
    const auto found = clients_.find(id);
    if (found == clients_.end()) {
        return;
    }
    client& sender = found->second;
    sender.pending_bytes += count;
    if (sender.pending_bytes >= progress_step_bytes) {
        move(id, sender, sender.stage, now);
    }
}

std::uint64_t client_budget::reserved_by_others(const client& asking) const {
    return reserved_ - asking.reserved;
}

std::uint64_t client_budget::large_reserved_by_others(const client& asking) const {
    return large_ - (is_large(asking.reserved) ? asking.reserved : 0);
}

bool client_budget::reserve(client_id id, std::uint64_t bytes) {
    const auto found = clients_.find(id);
    if (found == clients_.end()) {
        return false;
    }
    client& asking = found->second;
    const std::uint64_t others = reserved_by_others(asking);
    const std::uint64_t large_others = large_reserved_by_others(asking);
    if (bytes > asking.reserved) {
        const bool fits = others + bytes <= limits_.bytes &&
                          (!is_large(bytes) || large_others + bytes <= limits_.large_bytes);
        // One large request at a time is always served, so that any allowed size can be.
        const bool alone = large_others == 0 && others <= limits_.bytes - limits_.large_bytes;
        if (!fits && !(alone && is_large(bytes))) {
            return false;
        }
    }
    reserved_ = others + bytes;
    large_ = large_others + (is_large(bytes) ? bytes : 0);
    asking.reserved = bytes;
    return true;
}

std::uint64_t client_budget::reserved_by(client_id id) const {
    const auto found = clients_.find(id);
    return found != clients_.end() ? found->second.reserved : 0;
}

bool client_budget::is_full(client_group group) const {
    return connections(group) >= limits_.connections[static_cast<std::size_t>(group)];
}

std::optional<client_id> client_budget::connection_victim(client_group group, instant now) const {
    struct choice {
        client_stage stage;
        duration min_time;
    };
    // A kept connection of a client that has behaved is worth more than a message that doesn't
    // arrive, and less than one that does.
    constexpr std::array<choice, 5> order{{{client_stage::closing, duration::zero()},
                                           {client_stage::connected, stall_time},
                                           {client_stage::reading, stall_time},
                                           {client_stage::kept, duration::zero()},
                                           {client_stage::connected, duration::zero()}}};
    for (const choice& next : order) {
        const ordered_clients& candidates = clients_in(group, next.stage);
        if (!candidates.empty() && candidates.begin()->first <= now - next.min_time) {
            return candidates.begin()->second;
        }
    }
    return std::nullopt;
}

std::optional<client_id> client_budget::memory_victim(client_id asking, std::uint64_t bytes,
                                                      instant now) const {
    const auto found = clients_.find(asking);
    if (found == clients_.end()) {
        return std::nullopt;
    }
    // Room of small reservations doesn't help a large one beyond its share.
    const bool needs_large =
        is_large(bytes) && large_reserved_by_others(found->second) + bytes > limits_.large_bytes;
    std::optional<std::pair<instant, client_id>> victim;
    for (const auto& stages : ordered_) {
        for (const auto& candidate : stages[static_cast<std::size_t>(client_stage::reading)]) {
            if (candidate.first > now - stall_time || (victim && *victim <= candidate)) {
                break;
            }
            const std::uint64_t reserved = clients_.at(candidate.second).reserved;
            const bool helps = needs_large ? is_large(reserved) : reserved > 0;
            if (helps && candidate.second != asking) {
                victim = candidate;
                break;
            }
        }
    }
    return victim ? std::optional(victim->second) : std::nullopt;
}

}  // namespace tallyfold::resources
