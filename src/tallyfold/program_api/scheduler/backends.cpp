/// @file
/// Status and membership of back ends, cache events, and cache releases.

#include <algorithm>

#include "tallyfold/program_api/scheduler/scheduler_core.hpp"

namespace tallyfold::scheduler {

namespace {

using logging::event_id;

constexpr duration initial_release_retry_delay = std::chrono::milliseconds(500);
constexpr duration max_release_retry_delay = std::chrono::seconds(10);

}  // namespace

void scheduler_core::poll_backends(instant now) {
    if (now >= next_members_poll_) {
        next_members_poll_ = now + settings_.members_interval;
        order(poll_members{});
    }
    if (now < next_status_poll_) {
        return;
    }
    next_status_poll_ = now + settings_.status_interval;
    for (const scheduling::backend_pool& backends : pools_) {
        for (const auto& [name, backend] : backends.all()) {
            order(poll_status{name, last_cache_event_[name]});
        }
    }
}

void scheduler_core::on_status(const status_answered& status, instant now) {
    const duration ahead = duration(status.clock) - now.time_since_epoch();
    for (scheduling::backend_pool& backends : pools_) {
        backends.add_clock_sample(status.backend, ahead);
        const scheduling::backend_state* known = backends.find(status.backend);
        if (known == nullptr) {
            continue;
        }
        if (status.load.leaving && !known->reported.leaving) {
            event(event_id::backend_leaving, "backend=" + status.backend + " source=status");
        }
        backends.report(status.backend, status.load);
    }
    std::uint64_t& last = last_cache_event_[status.backend];
    for (const cache_event& cache_change : status.events) {
        if (cache_change.number <= last && cache_change.number != 1) {
            continue;
        }
        if (cache_change.number <= last) {
            // The numbering started over: the engine restarted with an empty cache.
            cache_.remove_engine(status.backend);
        } else if (cache_change.number != last + 1 && last != 0) {
            // Existing cache entries are kept. A stale entry costs one prefill, whereas dropping
            // all entries would move every program of this engine to other engines.
            event(event_id::cache_events_lost, "backend=" + status.backend +
                                                   " expected=" + std::to_string(last + 1) +
                                                   " got=" + std::to_string(cache_change.number));
        }
        last = cache_change.number;
        if (cache_change.stored) {
            cache_.stored(status.backend, cache_change.point);
        } else {
            cache_.removed(status.backend, cache_change.point.hash);
        }
    }
}

void scheduler_core::on_members(const members_answered& list) {
    std::array<std::vector<scheduling::backend_member>, 3> by_kind;
    for (const scheduling::backend_member& member : list.members) {
        by_kind[static_cast<std::size_t>(member.kind)].push_back(member);
    }
    for (std::size_t kind = 0; kind < pools_.size(); ++kind) {
        for (const scheduling::backend_member& member : by_kind[kind]) {
            const scheduling::backend_state* known = pools_[kind].find(member.name);
            if (member.leaving && known != nullptr && !known->member.leaving) {
                event(event_id::backend_leaving, "backend=" + member.name + " source=members");
            }
        }
        pools_[kind].update(by_kind[kind]);
        for (const scheduling::backend_member& member : by_kind[kind]) {
            pools_[kind].set_drained(member.name, configuration().drained(member.name));
        }
    }
    std::erase_if(cache_releases_, [&](const auto& entry) {
        return pool(engine_kind).find(entry.first.first) == nullptr;
    });
}

void scheduler_core::queue_cache_release(const program_id& id, instant now) {
    const journal::program_record* program = record_of(id);
    if (program == nullptr) {
        return;
    }
    for (const backend_name& engine : program->engines) {
        cache_releases_[{engine, id}] = {now, 0};
    }
}

void scheduler_core::repeat_cache_releases(instant now) {
    std::map<backend_name, std::vector<program_id>> due;
    for (auto& [key, release] : cache_releases_) {
        if (now < release.next) {
            continue;
        }
        if (release.tries > 0) {
            ++counters_.cache_releases_repeated;
            event(event_id::cache_release_repeated,
                  "backend=" + key.first + " program=" + key.second);
        }
        const std::uint32_t doublings = std::min(release.tries, 5U);
        release.next =
            now + std::min(initial_release_retry_delay * (1 << doublings), max_release_retry_delay);
        ++release.tries;
        due[key.first].push_back(key.second);
    }
    for (auto& [backend, programs] : due) {
        order(release_cache{backend, std::move(programs)});
    }
}

}  // namespace tallyfold::scheduler
