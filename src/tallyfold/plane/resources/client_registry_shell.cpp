#include "tallyfold/plane/resources/client_registry_shell.hpp"

#include <malloc.h>

#include "tallyfold/base/common/steady_clock.hpp"
#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::resources {

namespace {

/// A reservation above this size, in bytes, is no ordinary request's. Its memory is returned.
constexpr std::uint64_t max_ordinary_bytes = 64U << 10U;
/// Number of freed bytes after which the allocator's free memory is returned.
constexpr std::uint64_t trim_bytes = 1U << 20U;

/// True for the stages of a client that has not sent a whole message.
bool gives_way(client_stage stage) {
    return stage == client_stage::connected || stage == client_stage::reading ||
           stage == client_stage::closing;
}

}  // namespace

client_session::~client_session() {
    registry_.forget(id_);
}

bool client_session::reserve(std::uint64_t bytes) {
    return registry_.reserve(id_, bytes);
}

std::uint64_t client_session::reserved() const {
    return registry_.budget().reserved_by(id_);
}

void client_session::shrink(std::uint64_t bytes) {
    // A client that has given way holds nothing, and must not make others give way.
    if (bytes < registry_.budget().reserved_by(id_)) {
        (void)registry_.reserve(id_, bytes);
    }
}

void client_session::set_stage(client_stage stage) {
    registry_.budget_.set_stage(id_, stage, steady_now());
}

void client_session::record_bytes(std::uint64_t count) {
    registry_.budget_.record_bytes(id_, count, steady_now());
}

client_registry::client_registry(prometheus::Registry& metrics, budget_limits limits)
    : budget_(limits),
      refusals_(prometheus::BuildCounter()
                    .Name("tallyfold_client_refusals_total")
                    .Help("clients refused for want of room")
                    .Register(metrics)),
      evictions_(prometheus::BuildCounter()
                     .Name("tallyfold_client_evictions_total")
                     .Help("connections that gave way to others")
                     .Register(metrics)),
      connections_(prometheus::BuildGauge()
                       .Name("tallyfold_client_connections")
                       .Help("open connections of clients")
                       .Register(metrics)),
      reserved_(prometheus::BuildGauge()
                    .Name("tallyfold_client_bytes")
                    .Help("memory reserved for clients")
                    .Register(metrics)
                    .Add({})),
      limit_(prometheus::BuildGauge()
                 .Name("tallyfold_client_bytes_limit")
                 .Help("memory that clients may reserve")
                 .Register(metrics)
                 .Add({})) {
    limit_.Set(static_cast<double>(limits.bytes));
}

client_session_pointer client_registry::admit(client_group group, eviction_handler give_way) {
    while (budget_.is_full(group)) {
        const auto victim = budget_.connection_victim(group, steady_now());
        if (!victim) {
            count_refusal(group, "connection", connection_bytes);
            return nullptr;
        }
        evict(*victim, eviction::close_connection);
    }
    const client_id id = budget_.open(group, steady_now());
    auto session = std::make_shared<client_session>(*this, id);
    if (!reserve(id, connection_bytes)) {
        count_refusal(group, "connection", connection_bytes);
        return nullptr;
    }
    give_way_.emplace(id, std::move(give_way));
    return session;
}

bool client_registry::reserve(client_id id, std::uint64_t bytes) {
    const std::uint64_t before = budget_.reserved_by(id);
    while (!budget_.reserve(id, bytes)) {
        const auto victim = budget_.memory_victim(id, bytes, steady_now());
        if (!victim) {
            return false;
        }
        evict(*victim, eviction::refuse_request);
    }
    count_freed(before, bytes);
    return true;
}

void client_registry::evict(client_id id, eviction how) {
    const client_stage stage = budget_.stage_of(id);
    const client_group group = budget_.group_of(id);
    const eviction_handler give_way = give_way_.at(id);
    if (!give_way(how, stage)) {
        // A message that arrives is progress.
        budget_.set_stage(id, client_stage::reading, steady_now());
        return;
    }
    const std::string reason = how == eviction::refuse_request ? "memory" : "connections";
    if (how == eviction::refuse_request) {
        budget_.set_stage(id, client_stage::closing, steady_now());
        count_freed(budget_.reserved_by(id), 0);
        // A smaller reservation is always granted.
        (void)budget_.reserve(id, 0);
    } else {
        forget(id);
    }
    evictions_.Add({{"reason", reason}}).Increment();
    logging::write_event(logging::event_id::client_evicted,
                         "group=" + std::string(name_of(group)) + " reason=" + reason +
                             " stage=" + std::string(name_of(stage)));
}

void client_registry::count_freed(std::uint64_t before, std::uint64_t after) {
    if (before > max_ordinary_bytes && after < before) {
        freed_bytes_ += before - after;
    }
}

void client_registry::forget(client_id id) {
    if (budget_.contains(id) && gives_way(budget_.stage_of(id))) {
        // Ordinary clients rarely leave so, and their memory is used again.
        freed_bytes_ += budget_.reserved_by(id);
    }
    give_way_.erase(id);
    budget_.close(id);
}

void client_registry::count_refusal(client_group group, const std::string& what,
                                    std::uint64_t bytes) {
    refusals_.Add({{"group", std::string(name_of(group))}, {"what", what}}).Increment();
    logging::write_event(logging::event_id::client_refused,
                         "group=" + std::string(name_of(group)) + " what=" + what +
                             " bytes=" + std::to_string(bytes) +
                             " reserved=" + std::to_string(budget_.reserved_bytes()) +
                             " limit=" + std::to_string(budget_.limits().bytes) +
                             " connections=" + std::to_string(budget_.connections(group)));
}

void client_registry::update() {
    for (std::size_t group = 0; group < client_group_count; ++group) {
        const auto named = static_cast<client_group>(group);
        connections_.Add({{"group", std::string(name_of(named))}})
            .Set(static_cast<double>(budget_.connections(named)));
    }
    reserved_.Set(static_cast<double>(budget_.reserved_bytes()));
    if (freed_bytes_ >= trim_bytes) {
        freed_bytes_ = 0;
        malloc_trim(0);
    }
}

}  // namespace tallyfold::resources
