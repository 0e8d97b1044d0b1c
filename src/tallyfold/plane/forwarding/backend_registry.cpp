#include "tallyfold/plane/forwarding/backend_registry.hpp"

#include <algorithm>
#include <set>

namespace tallyfold::forwarding {

using scheduling::backend_state;

backend_registry::backend_registry(std::string zone, std::uint64_t seed,
                                   scheduling::strategy chosen,
                                   settings::disabled_mechanisms disabled)
    : node_key_(seed),
      random_(seed),
      disabled_(std::move(disabled)),
      selector_(std::move(zone), chosen, disabled_) {}

backend_registry::service_state& backend_registry::state_of(const std::string& service) {
    return services_.try_emplace(service, node_key_).first->second;
}

bool backend_registry::update(const std::vector<discovery::listed_backend>& backends, instant now) {
    std::set<backend_name> listed;
    discovery::list_changes changes;
    for (const discovery::listed_backend& backend : backends) {
        listed.insert(backend.member.name);
        const backend_state* known = state_of(backend.service).pool.find(backend.member.name);
        if (known == nullptr || !(known->member == backend.member)) {
            changes.changed.push_back(backend);
        }
    }
    for (const auto& [service, state] : services_) {
        for (const auto& [name, known] : state.pool.all()) {
            if (!listed.contains(name)) {
                changes.removed.push_back(name);
            }
        }
    }
    apply(changes, now);
    return !changes.changed.empty() || !changes.removed.empty();
}

void backend_registry::apply(const discovery::list_changes& changes, instant polled_at) {
    listed_at_ = polled_at;
    has_backend_list_ = true;
    for (const backend_name& name : changes.removed) {
        remove(name);
    }
    for (const discovery::listed_backend& backend : changes.changed) {
        service_state& service = state_of(backend.service);
        if (service.pool.find(backend.member.name) == nullptr) {
            // The back end may have been listed for another service.
            remove(backend.member.name);
        }
        service.pool.insert(backend.member, polled_at);
        service.pool.set_evacuated(backend.member.name,
                                   evacuated_zones_.contains(backend.member.zone));
        service.subset.insert(backend.member.name);
    }
}

void backend_registry::remove(const backend_name& name) {
    for (auto& [service, state] : services_) {
        state.pool.remove(name);
        state.subset.remove(name);
    }
}

void backend_registry::set_evacuated_zones(std::set<std::string> zones) {
    evacuated_zones_ = std::move(zones);
    for (auto& [service, state] : services_) {
        for (const auto& [name, backend] : state.pool.all()) {
            const bool evacuated = evacuated_zones_.contains(backend.member.zone);
            if (backend.evacuated != evacuated) {
                state.pool.set_evacuated(name, evacuated);
            }
        }
    }
}

bool backend_registry::is_evacuated(const std::string& service) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return false;
    }
    bool has_evacuated = false;
    for (const auto& [name, backend] : found->second.pool.all()) {
        if (!backend.leaving()) {
            return false;
        }
        has_evacuated = has_evacuated || backend.evacuated;
    }
    return has_evacuated;
}

bool backend_registry::may_resume_at(const std::string& service, const backend_name& name,
                                     const std::string& version) const {
    const auto found = services_.find(service);
    const backend_state* backend =
        found == services_.end() ? nullptr : found->second.pool.find(name);
    return backend != nullptr && !backend->evacuated && backend->member.variant == version;
}

std::vector<std::string> backend_registry::versions_of(const std::string& service) const {
    std::set<std::string> versions;
    if (const auto found = services_.find(service); found != services_.end()) {
        for (const auto& [name, backend] : found->second.pool.all()) {
            versions.insert(backend.member.variant);
        }
    }
    return {versions.begin(), versions.end()};
}

std::optional<chosen_backend> backend_registry::choose(const selection_request& question,
                                                       instant now) {
    const service_state& service = state_of(question.service);
    const selection_state state{service.pool, service.subset, reported_, service.pace, cache_};
    return selector_.select(question, state, random_, now);
}

std::optional<chosen_backend> backend_registry::find_dispatched(const std::string& service,
                                                                const backend_name& name,
                                                                token_count cached_tokens) const {
    const auto found = services_.find(service);
    const backend_state* backend =
        found == services_.end() ? nullptr : found->second.pool.find(name);
    if (backend == nullptr || backend->leaving()) {
        return std::nullopt;
    }
    return chosen_from(*backend, cached_tokens, selection_rule::dispatched,
                       backend_eligibility::distrusted);
}

std::size_t backend_registry::count(const std::string& service) const {
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.pool.all().size();
}

const backend_state* backend_registry::find(const backend_name& name) const {
    for (const auto& [service, state] : services_) {
        if (const backend_state* found = state.pool.find(name)) {
            return found;
        }
    }
    return nullptr;
}

std::string backend_registry::record_broken_connection(const backend_name& name, instant at) {
    const backend_state* failed = find(name);
    if (failed == nullptr || is_disabled(settings::mechanism::backend_distrust)) {
        return {};
    }
    reported_.expire(at);
    return reported_.record(name, at) ? failed->member.address : std::string{};
}

backend_call backend_registry::started(const std::string& service, const chosen_backend& chosen,
                                       token_count prompt_tokens, instant now) {
    const token_count reused = std::min(chosen.cached_tokens, prompt_tokens);
    const token_count uncached = prompt_tokens - reused;
    service_state& state = state_of(service);
    state.pool.started(chosen.name, uncached);
    state.silence.call_started(chosen.name, now);
    return {service, chosen.name, now, uncached, true};
}

void backend_registry::first_byte_received(backend_call& call, instant now) {
    service_state& state = state_of(call.service);
    state.silence.first_byte_received(call.backend, call.started_at, now);
    state.pace.record_prompt_processed(call.uncached_tokens, now - call.started_at);
    state.pool.prefilled(call.backend, call.uncached_tokens);
    call.awaits_first_byte = false;
}

void backend_registry::finished(backend_call& call) {
    service_state& state = state_of(call.service);
    if (call.awaits_first_byte) {
        state.silence.call_ended(call.backend, call.started_at);
        state.pool.prefilled(call.backend, call.uncached_tokens);
        call.awaits_first_byte = false;
    }
    state.pool.finished(call.backend);
}

std::vector<backend_name> backend_registry::eject_silent(instant now) {
    std::vector<backend_name> suspected;
    if (is_disabled(settings::mechanism::silence)) {
        return suspected;
    }
    for (auto& [service, state] : services_) {
        for (const backend_name& name : state.silence.overdue_backends(now)) {
            const backend_state* backend = state.pool.find(name);
            if (backend != nullptr && state.pool.available(*backend, now)) {
                state.pool.unreachable(name, now);
                suspected.push_back(name);
            }
        }
    }
    return suspected;
}

void backend_registry::succeeded(const std::string& service, const backend_name& name) {
    state_of(service).pool.succeeded(name);
}

void backend_registry::failed(const std::string& service, const backend_name& name, instant now) {
    if (!is_disabled(settings::mechanism::ejection)) {
        state_of(service).pool.failed(name, now);
    }
}

void backend_registry::unreachable(const std::string& service, const backend_name& name,
                                   instant now) {
    state_of(service).pool.unreachable(name, now);
}

void backend_registry::incarnation_replaced(const std::string& service, const backend_name& name) {
    service_state& state = state_of(service);
    state.pool.set_drained(name, true);
    state.pace.remove_engine(name);
    cache_.remove_engine(name);
}

void backend_registry::record_cached(const backend_name& name,
                                     const std::vector<scheduling::prefix_point>& prompt) {
    for (const scheduling::prefix_point& point : prompt) {
        cache_.stored(name, point);
    }
}

}  // namespace tallyfold::forwarding
