#include "tallyfold/plane/decisions/backend_eligibility.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

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

bool most_have_reported_failures(const scheduling::backend_pool& pool,
                                 const reported_failures& reported, instant now) {
    const auto count = std::count_if(pool.all().begin(), pool.all().end(), [&](const auto& entry) {
        return reported.is_distrusted(entry.first, now);
    });
    return 2 * static_cast<std::size_t>(count) > pool.all().size();
}

}  // namespace tallyfold::forwarding
