#include "tallyfold/scheduling/backend_pool.hpp"

#include <algorithm>

#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::scheduling {

namespace {

/// Number of clock samples kept for each back end: enough that one is likely without delay, few
/// enough that a clock step is soon followed.
constexpr std::size_t max_clock_samples = 8;

/// True when two entries of one name describe different processes. A list of an earlier build has
/// no variants.
bool is_other_process(const backend_member& known, const backend_member& listed) {
    const bool other_variant =
        !known.variant.empty() && !listed.variant.empty() && known.variant != listed.variant;
    return known.address != listed.address || other_variant;
}

double load_of(const backend_state& backend) {
    return static_cast<double>(backend.outstanding()) /
           static_cast<double>(std::max(1U, backend.member.slots));
}

}  // namespace

std::uint32_t backend_state::outstanding() const {
    const std::uint32_t total = reported.running + reported.waiting;
    const std::uint32_t others = total > own_at_report ? total - own_at_report : 0;
    return own_outstanding + others;
}

std::optional<duration> backend_state::clock_ahead() const {
    const auto best = std::max_element(clock_samples.begin(), clock_samples.end());
    return best == clock_samples.end() ? std::nullopt : std::optional(*best);
}

void backend_pool::index(const backend_state& backend) {
    by_load_.insert({load_of(backend), backend.member.name});
}

void backend_pool::unindex(const backend_state& backend) {
    by_load_.erase({load_of(backend), backend.member.name});
}

template <class Change>
void backend_pool::change(const backend_name& name, Change&& apply) {
    const auto found = backends_.find(name);
    if (found == backends_.end()) {
        return;
    }
    unindex(found->second);
    apply(found->second);
    index(found->second);
}

void backend_pool::update(const std::vector<backend_member>& members) {
    std::set<backend_name> listed;
    for (const backend_member& member : members) {
        listed.insert(member.name);
        insert(member);
    }
    std::vector<backend_name> missing;
    for (const auto& [name, state] : backends_) {
        if (!listed.contains(name)) {
            missing.push_back(name);
        }
    }
    for (const backend_name& name : missing) {
        remove(name);
    }
}

void backend_pool::insert(const backend_member& member, instant listed_at) {
    const auto [found, is_new] = backends_.try_emplace(member.name);
    backend_state& backend = found->second;
    if (!is_new) {
        unindex(backend);
    }
    if (is_new || is_other_process(backend.member, member)) {
        backend = backend_state{};
        backend.name_hash = stable_hash(member.name);
    } else if (member.leaving && !backend.member.leaving) {
        backend.leaving_since = listed_at;
    }
    backend.member = member;
    index(backend);
}

void backend_pool::remove(const backend_name& name) {
    const auto found = backends_.find(name);
    if (found != backends_.end()) {
        unindex(found->second);
        backends_.erase(found);
    }
}

void backend_pool::report(const backend_name& name, const load_report& load) {
    change(name, [&](backend_state& backend) {
        backend.reported = load;
        backend.own_at_report = backend.own_outstanding;
    });
}

void backend_pool::add_clock_sample(const backend_name& name, duration ahead) {
    change(name, [&](backend_state& backend) {
        // Drops the oldest sample, since either clock may have been stepped.
        if (backend.clock_samples.size() >= max_clock_samples) {
            backend.clock_samples.erase(backend.clock_samples.begin());
        }
        backend.clock_samples.push_back(ahead);
    });
}

void backend_pool::set_drained(const backend_name& name, bool drained) {
    change(name, [&](backend_state& backend) { backend.drained = drained; });
}

void backend_pool::set_evacuated(const backend_name& name, bool evacuated) {
    change(name, [&](backend_state& backend) { backend.evacuated = evacuated; });
}

void backend_pool::started(const backend_name& name, token_count prefill_tokens) {
    change(name, [&](backend_state& backend) {
        ++backend.own_outstanding;
        backend.pending_prefill_tokens += prefill_tokens;
    });
}

void backend_pool::prefilled(const backend_name& name, token_count prefill_tokens) {
    change(name, [&](backend_state& backend) {
        backend.pending_prefill_tokens -= std::min(prefill_tokens, backend.pending_prefill_tokens);
    });
}

void backend_pool::finished(const backend_name& name) {
    change(name, [](backend_state& backend) {
        backend.own_outstanding -= backend.own_outstanding > 0 ? 1 : 0;
    });
}

void backend_pool::succeeded(const backend_name& name) {
    change(name, [](backend_state& backend) { backend.ejection.succeeded(); });
}

std::size_t backend_pool::ejected_count(instant now) const {
    return static_cast<std::size_t>(
        std::count_if(backends_.begin(), backends_.end(),
                      [&](const auto& entry) { return entry.second.ejection.is_ejected(now); }));
}

void backend_pool::failed(const backend_name& name, instant now) {
    add_failure(name, 1, now);
}

void backend_pool::unreachable(const backend_name& name, instant now) {
    add_failure(name, outlier_ejection::ejection_threshold, now);
}

void backend_pool::add_failure(const backend_name& name, double weight, instant now) {
    const auto allowed =
        static_cast<std::size_t>(static_cast<double>(backends_.size()) * max_ejected_share);
    const bool may_eject = ejected_count(now) < allowed;
    change(name, [&](backend_state& backend) { backend.ejection.failed(weight, may_eject, now); });
}

const backend_state* backend_pool::find(const backend_name& name) const {
    const auto found = backends_.find(name);
    return found == backends_.end() ? nullptr : &found->second;
}

bool backend_pool::available(const backend_state& backend, instant now) const {
    const bool has_reported = backend.member.listed_only || !backend.clock_samples.empty();
    return has_reported && !backend.leaving() && !backend.ejection.is_ejected(now);
}

std::vector<const backend_state*> backend_pool::least_loaded(std::size_t limit,
                                                             const std::string& model,
                                                             bool include_busy, instant now) const {
    std::vector<const backend_state*> chosen;
    for (const auto& [load, name] : by_load_) {
        if ((load >= 1.0 && !include_busy) || chosen.size() >= limit) {
            break;
        }
        const backend_state& backend = backends_.at(name);
        const bool fits = model.empty() || backend.member.variant == model;
        if (fits && available(backend, now)) {
            chosen.push_back(&backend);
        }
    }
    return chosen;
}

}  // namespace tallyfold::scheduling
