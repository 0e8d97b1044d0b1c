#include "tallyfold/plane/forwarding/connection_pool_shell.hpp"

namespace tallyfold::forwarding {

namespace {

/// Idle connections are closed this long before the back end's idle timeout, so that no request is
/// written to a closing connection. Covers back ends that count whole seconds, and the latency.
constexpr duration close_margin = std::chrono::milliseconds(900);
/// Idle timeout for back ends that announce none; below the usual defaults of HTTP servers.
constexpr duration default_idle_timeout = std::chrono::seconds(10);

}  // namespace

http::connection_pointer connection_pool::take(const std::string& address, instant now) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& kept = found->second;
    while (!kept.empty()) {
        // The most recently used connection is the least likely to be closed by its back end.
        idle_connection candidate = std::move(kept.back());
        kept.pop_back();
        if (now < candidate.until && !candidate.connection->stale()) {
            if (kept.empty()) {
                idle_.erase(found);
            }
            return candidate.connection;
        }
        candidate.connection->close();
    }
    idle_.erase(found);
    return nullptr;
}

void connection_pool::put(const std::string& address, http::connection_pointer idle,
                          std::optional<duration> idle_timeout, instant now) {
    const duration limit = idle_timeout.value_or(default_idle_timeout + close_margin);
    if (limit <= close_margin) {
        idle->close();
        return;
    }
    idle->next_message();
    idle_[address].push_back({std::move(idle), now + limit - close_margin});
}

void connection_pool::drop(const std::string& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return;
    }
    for (idle_connection& kept : found->second) {
        kept.connection->close();
    }
    idle_.erase(found);
}

void connection_pool::expire(instant now) {
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::erase_if(entry->second, [&](idle_connection& kept) {
            const bool expired = now >= kept.until || kept.connection->stale();
            if (expired) {
                kept.connection->close();
            }
            return expired;
        });
        entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

}  // namespace tallyfold::forwarding
