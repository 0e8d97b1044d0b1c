#pragma once
/// @file
/// Combines the rules that restrict sending calls to a back end. Pure functions; each rule keeps
/// its own state, which backend_registry updates.
///
/// - **Outlier ejection** (scheduling/outlier_ejection): the failure score exceeds its threshold,
///   or connections are not accepted. Unavailable for 1 s, doubling up to 32 s.
/// - **Silence suspicion** (silence_detector, then outlier_ejection): a call has received no byte
///   for more than 0.7 s and more than five times the mean. Same effect.
/// - **Reported failures** (reported_failures): any node saw a call broken off before its first
///   byte. For 2 s, doubling up to 8 s, no calls that must run at most once.
/// - **Replaced incarnation** (backend_state::drained): the back end answers that the call names an
///   earlier process of its name. Excluded until the membership list has a new address.
/// - **Leaving** (backend_state::leaving()): announced by the membership list or by the status of
///   the back end. Excluded.

#include <cstdint>

#include "tallyfold/plane/decisions/reported_failures.hpp"
#include "tallyfold/scheduling/backend_pool.hpp"

namespace tallyfold::forwarding {

/// Which calls a back end may receive, from all to none.
enum class backend_eligibility : std::uint8_t {
    /// No rule applies; all calls.
    trusted,
    /// A failure was reported recently; calls that must run at most once avoid it.
    distrusted,
    /// Ejected, or without a status so far; used only if there is no other back end.
    unavailable,
    /// Leaving, or its incarnation was replaced; no calls.
    excluded,
};

/// Most restrictive result of all rules for one back end.
backend_eligibility eligibility_of(const scheduling::backend_state& backend,
                                   const scheduling::backend_pool& pool,
                                   const reported_failures& reported, instant now);

/// True if a back end that is leaving may still get a call that only its version can serve: it
/// serves on for some seconds after the membership list shows it as leaving.
bool may_continue_while_leaving(const scheduling::backend_state& backend, instant now);

/// True if failures were reported for more than half of the pool. A fault shared by most back ends
/// is no reason to concentrate calls on the others.
bool most_have_reported_failures(const scheduling::backend_pool& pool,
                                 const reported_failures& reported, instant now);

}  // namespace tallyfold::forwarding
