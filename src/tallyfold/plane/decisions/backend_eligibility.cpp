#include "tallyfold/plane/decisions/backend_eligibility.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

namespace {

/// Time after the list showed a back end as leaving for which it may get such a call. Well below
/// the shortest time for which platforms let a back end serve on, which is 3 s.
constexpr duration leaving_grace = std::chrono::seconds(1);

}  // namespace

backend_eligibility eligibility_of(const scheduling::backend_state& backend,
                                   const scheduling::backend_pool& pool,
                                   const reported_failures& reported, instant now) {
    if (backend.leaving()) {
        return backend_eligibility::excluded;
    }
    if (!pool.available(backend, now)) {
        return backend_eligibility::unavailable;
    }
    return reported.is_distrusted(backend.member.name, now) ? backend_eligibility::distrusted
                                                            : backend_eligibility::trusted;
}

bool may_continue_while_leaving(const scheduling::backend_state& backend, instant now) {
    const bool only_leaving = backend.member.leaving && !backend.reported.leaving &&
                              !backend.drained && !backend.evacuated;
    return only_leaving && now - backend.leaving_since < leaving_grace;
}

bool most_have_reported_failures(const scheduling::backend_pool& pool,
                                 const reported_failures& reported, instant now) {
    const auto count = std::count_if(pool.all().begin(), pool.all().end(), [&](const auto& entry) {
        return reported.is_distrusted(entry.first, now);
    });
    return 2 * static_cast<std::size_t>(count) > pool.all().size();
}

}  // namespace tallyfold::forwarding
