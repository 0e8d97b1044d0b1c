#pragma once
/// @file
/// What speaks against sending a call to a back end: the one place that brings the rules together.
/// Pure; each rule keeps its own state, backend_registry feeds them.
///
/// - **Outlier ejection** (scheduling/outlier_ejection): the failure score is over its threshold or
///   nothing accepts a connection. Unavailable for 1 s, doubling to 32 s.
/// - **Silence suspicion** (silence_suspicion, then outlier_ejection): a call has been without a
///   byte for 0.7 s and five times the usual. The same effect.
/// - **Reported failures** (reported_failures): a call was broken off before any byte, at any node.
///   For 2 s, doubling to 8 s, no calls that must run at most once.
/// - **Replaced incarnation** (backend_state::drained): the back end answers that the call names an
///   earlier process of its name. Excluded until the list names a new address.
/// - **Leaving** (backend_state::leaving()): the list, or its own status, says so. Excluded.

#include <cstdint>

#include "tallyfold/plane/decisions/reported_failures.hpp"
#include "tallyfold/scheduling/backend_pool.hpp"

namespace tallyfold::forwarding {

/// How much speaks against a back end, least first.
enum class backend_eligibility : std::uint8_t {
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
backend_eligibility eligibility_of(const scheduling::backend_state& backend,
                                   const scheduling::backend_pool& pool,
                                   const reported_failures& reported, instant now);

/// True when failures were reported of more than half of the pool. A fault that most share is no
/// reason to crowd their calls onto the others.
bool most_have_reported_failures(const scheduling::backend_pool& pool,
                                 const reported_failures& reported, instant now);

}  // namespace tallyfold::forwarding
