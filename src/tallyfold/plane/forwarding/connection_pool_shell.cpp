#include "tallyfold/plane/forwarding/connection_pool_shell.hpp"

#include <cstddef>

namespace tallyfold::forwarding {

namespace {

/// Idle connections are closed this long before the back end's idle timeout, so that no request is
/// written to a closing connection. Covers back ends that count whole seconds, and the latency.
constexpr duration close_margin = std::chrono::milliseconds(900);
/// Idle timeout for back ends that announce none; below the usual defaults of HTTP servers.
constexpr duration default_idle_timeout = std::chrono::seconds(10);

}  // namespace

backend_connection_pointer connection_pool::take(const std::string& address,
                                                 const std::string& request, instant now) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& kept = found->second;
    backend_connection_pointer taken;
    // The most recently used connection is the least likely to be closed by its back end.
    for (auto position = kept.size(); position > 0 && !taken; --position) {
        const auto candidate = kept.begin() + static_cast<std::ptrdiff_t>(position - 1);
        if (candidate->connection->has_sent(request)) {
            continue;
        }
        if (now < candidate->until && !candidate->connection->stale()) {
            taken = std::move(candidate->connection);
        } else {
            candidate->connection->close();
        }
        kept.erase(candidate);
    }
    if (kept.empty()) {
        idle_.erase(found);
    }
    return taken;
}

void connection_pool::put(const std::string& address, backend_connection_pointer idle,
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
