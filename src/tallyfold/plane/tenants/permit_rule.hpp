#pragma once
/// @file
/// Decides how much of a tenant's limit is lent to one node. Pure; permit_lender provides the sums,
/// permit_holder spends the permits.
///
/// Permits are lent in this order:
/// - to waiting calls of running programs: up to the limit, less what is spent; a program that
///   loses a call fails as a whole;
/// - to waiting calls that start a program: up to three quarters of the limit, since the last
///   quarter is reserved for running programs;
/// - to future calls, kept at the node so that most calls need no message: the same, less the
///   above.
///
/// All of them together stay within
/// - the bound: the limit plus the configured allowance, less what is spent and lent already;
/// - a token bucket: in each span up to a window, no more is spent and lent than the burst
///   tolerance plus what the rate allows in that span.
///
/// The token bucket guards against lost state. Spending is known to the node and the lender only,
/// and is lost when both restart within a window, as in a power loss. Over a whole window the token
/// bucket allows as much as the bound, so the bound holds whatever was spent before if the next
/// lender lends no faster than the rate for a window.
///
/// A lender that has just started doesn't know what its predecessor lent, so
/// - for a window after its start it lends no more than the rate allows for that time, besides what
///   the nodes hold from its predecessor; the limit is the bound then, since the allowance is left
///   to nodes that can't report;
/// - for `settling_time`, new programs get no permits, and a node keeps those that it holds for
///   future calls.

#include <cstdint>
#include <limits>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/tenants/messages.hpp"
#include "tallyfold/plane/tenants/quota_rules.hpp"

namespace tallyfold::tenants {

/// Time in which all reachable nodes have reported to a new lender: two report intervals. Until
/// then it lends no more than the rate, and nothing in addition for future calls.
constexpr duration settling_time = std::chrono::milliseconds(500);

/// Share of the limit, 0 to 1, that is withheld from new programs and future calls, for calls of
/// running programs. The same share of the burst tolerance is withheld from future calls, and in a
/// lender's first window from both, as are the same share of the rate and of the bound.
constexpr double reserved_share = 0.25;

/// One tenant's limit and its use, in permits.
struct limit_use {
    double rate_per_second = 0;
    /// Calls that may be admitted within a window: rate x window + burst.
    double limit = 0;
    /// The limit plus the configured allowance: spent and lent together never exceed it.
    double bound = 0;
    /// Spent within the window, or lent.
    std::uint64_t counted = 0;
    /// Spent within the window.
    std::uint64_t spent = 0;
    /// Lent since the lender's start, beyond what the nodes held from its predecessor and less what
    /// they returned; includes what the requesting node holds.
    double lent_since_start = 0;
    /// Left by the token bucket, before anything is lent to the requesting node.
    double left_by_token_bucket = std::numeric_limits<double>::infinity();
    /// Permits that may be spent and lent at once, beyond the rate; see burst_tolerance_for().
    double burst_tolerance = 0;
};

/// Burst tolerance, in permits: what the bound leaves beyond the rate for a window, but more than
/// the rate yields in `resolution`. With a smaller allowance and burst than that, the bound may be
/// exceeded after a loss of state.
/// @param resolution largest error in the length of the lender's spans
double burst_tolerance_for(const limit_use& tenant, const quota_rules& rules, duration resolution);

/// Permits that may be lent to one node; whole numbers.
struct granted_permits {
    /// For the node's waiting calls, of running programs and of new ones.
    double needed = 0;
    double beginning = 0;
    /// For future calls.
    double spare = 0;
};

/// @param use the node's request
/// @param tenant without what this node has been lent, except what it has spent
/// @param running_for time since the lender's start
granted_permits lendable_permits(const permit_use& use, const limit_use& tenant,
                                 duration running_for, const quota_rules& rules);

/// Estimated time in milliseconds until `permits` are free again, at least 50: a spent permit is
/// free a window later, on average at the rate that the limit allows.
std::uint32_t time_to_free_ms(const limit_use& tenant, double permits, const quota_rules& rules);

}  // namespace tallyfold::tenants
