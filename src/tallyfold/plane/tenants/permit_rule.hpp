#pragma once
/// @file
/// What of a tenant's limit is lent to one node: the one place that decides on permits. Pure;
/// permit_lender brings the sums, permit_holder spends what is lent.
///
/// Who gets permits, in order, and up to what:
///
/// - calls of programs under way: up to the limit, less what is spent; a program that loses a call
///   fails whole;
/// - calls that begin a program: up to three quarters of the limit, since the last quarter is for
///   programs under way;
/// - calls to come, kept at the node: the same, less the above. Most calls then need no message.
///
/// All of them together stay within the bound, the limit with the operators' allowance, less what
/// is spent and lent already, and within the pace: in each span of time up to a window, no more is
/// spent and lent than the burst tolerance and what the rate allows in that span.
///
/// The pace is for what nobody remembers. What was spent is known to the node that spent it and to
/// the lender, and is forgotten when both are gone within a window, as in a loss of all power. For
/// the whole window the pace allows as much as the bound, so if the next lender lends no faster
/// than the rate for a window, the bound holds whatever was spent before and by whom.
///
/// A lender that has just started doesn't know what its predecessor lent, so
/// - up to a window after its start it lends no more than the rate allows for that time, beside
///   what the nodes have from its predecessor; the limit is the bound then, since the allowance is
///   left to nodes that can't report;
/// - up to `settling` new programs get none, and a node keeps what it had for calls to come.

#include <cstdint>
#include <limits>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/tenants/messages.hpp"
#include "tallyfold/plane/tenants/quota_rules.hpp"

namespace tallyfold::tenants {

/// Time in which nodes in touch have reported twice. Until then a new lender lends no more than the
/// rate, and nothing for calls to come. Twice the 250 ms between reports.
constexpr duration settling = std::chrono::milliseconds(500);

/// Part of the limit, 0 to 1, that new programs and calls to come don't get: a tenant's last
/// permits are for programs under way. Of what the pace leaves, the same part is kept for calls
/// that wait.
constexpr double reserved_share = 0.25;

/// One tenant's limit and what of it is in use, in permits.
struct limit_use {
    double rate_per_second = 0;
    /// Calls that may be let in within a window: rate x window + burst.
    double limit = 0;
    /// The limit with the operators' allowance: spent and lent together never exceed it.
    double bound = 0;
    /// Spent within the window, and lent.
    std::uint64_t counted = 0;
    /// Spent within the window.
    std::uint64_t spent = 0;
    /// Lent since the lender started, beyond what the nodes had from its predecessor, and less what
    /// they returned; what the asking node holds is among it.
    double lent_since_start = 0;
    /// What the pace leaves, before anything is lent to the asking node.
    double left_by_pace = std::numeric_limits<double>::infinity();
    /// Permits that may be spent and lent at once, beyond the rate; see tolerated_burst().
    double burst_tolerance = 0;
};

/// What a tenant may spend at once, so that this and the rate for a window are the bound: in
/// permits, more than the rate gives in `resolution`. An allowance or a burst below that leaves
/// nothing for what is forgotten, and the bound may be exceeded by it then.
/// @param resolution the longest time by which a lender's spans are wrong
double tolerated_burst(const limit_use& tenant, const quota_rules& rules, duration resolution);

/// Permits that may be lent to one node; whole numbers.
struct lendable {
    /// For calls that wait there, of programs under way and of new ones.
    double needed = 0;
    double beginning = 0;
    /// For calls to come.
    double spare = 0;
};

/// @param use what the node asks for
/// @param tenant without what this node has been lent, but for what it has spent
/// @param running_for since the lender started
lendable lendable_permits(const permit_use& use, const limit_use& tenant, duration running_for,
                          const quota_rules& rules);

/// Milliseconds until so many permits are free again, 50 at least: what was spent comes back a
/// window later, on the mean at the pace that the limit allows.
std::uint32_t time_to_free_ms(const limit_use& tenant, double permits, const quota_rules& rules);

}  // namespace tallyfold::tenants
