#pragma once
/// @file
/// What speaks against sending a call to a back end: the one place that brings the rules together.
/// Pure; each rule keeps its own state, backend_registry feeds them.
///
/// | rule | trigger | effect | kept in |
/// |---|---|---|---|
/// | outlier ejection | failure score over its threshold, or nothing accepts a connection |
/// unavailable for 1 s, doubling to 32 s | scheduling/outlier_ejection | | silence suspicion | a
/// call without a byte for 0.7 s and five times the usual | the same | silence_suspicion, then
/// outlier_ejection | | reported failures | a call broken off before any byte, at any node | for 2
/// s, doubling to 8 s, no calls that must run at most once | reported_failures | | replaced
/// incarnation | the back end answers that the call names an earlier process of its name | excluded
/// until the list names a new address | backend_state::drained | | leaving | the list, or its own
/// status, says so | excluded | backend_state::leaving() |

#include <cstdint>

#include "tallyfold/plane/decisions/reported_failures.hpp"
#include "tallyfold/scheduling/backend_pool.hpp"

namespace tallyfold::forwarding {

/// How much speaks against a back end, least first.
enum class backend_standing : std::uint8_t {
    /// No rule speaks against it.
    trusted,
    /// A failure was reported lately: calls that must run at most once should avoid it.
    distrusted,
    /// Ejected, or not heard of yet: used only where there is no other.
    unavailable,
    /// It leaves, or its incarnation was replaced: it gets no call.
    excluded,
};

/// The strongest that any rule says of one back end now.
backend_standing standing_of(const scheduling::backend_state& backend,
                             const scheduling::backend_pool& pool,
                             const reported_failures& reported, instant now);

/// True when failures were reported of more than half of the pool. A fault that most share is no
/// reason to crowd their calls onto the others.
bool most_are_reported(const scheduling::backend_pool& pool, const reported_failures& reported,
                       instant now);

}  // namespace tallyfold::forwarding
