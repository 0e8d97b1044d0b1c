#pragma once
/// @file
/// Lends the permits of all tenants to the nodes that spend them. Pure; runs at the directory's
/// leader.
///
/// A tenant's limit is rate x window + burst, in any span as long as the window. Each node counts
/// for itself what it has spent within the last window; the keeper adds those counts up with what
/// the nodes may still spend. Two bounds hold: a call that asks is let in while what is spent stays
/// below the limit, and what is spent and lent together never exceeds the limit with the allowance
/// that operators give for its enforcement over many nodes. So permits that lie ready at some nodes
/// aren't taken from the tenant's calls at others. A count that is late is too high, never too low,
/// so the second bound holds whatever is delayed. The state is soft: a new keeper has it again once
/// each node has reported.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/routing/configuration.hpp"
#include "tallyfold/plane/tenants/messages.hpp"

namespace tallyfold::tenants {

/// How limits are meant, the same on all nodes; from the settings.
struct quota_rules {
    /// Span of time over which limits hold.
    duration window = std::chrono::seconds(5);
    /// Allowance over a limit: a part of it, and some permits more.
    double overshoot = 0.1;
    double slack = 20;
    /// A node may spend what it was granted for this long after it asked. Longer than an election
    /// of another keeper, so that permits at hand bridge it.
    duration lease = std::chrono::seconds(2);
};

class permit_lender {
  public:
    /// Nodes in touch have reported twice in this time. Until then a new keeper lends no more than
    /// the rate, and nothing for calls to come.
    static constexpr duration settling = std::chrono::milliseconds(500);
    /// New programs, and calls to come, get permits only while this part of the limit is free: a
    /// program under way that loses one call fails whole, so a tenant's last permits are its.
    static constexpr double reserved_share = 0.25;

    explicit permit_lender(quota_rules rules) : rules_(rules) {}

    /// This node begins to keep permits; what it knew from before is void.
    void start(instant now);
    /// The limits in force.
    void use(const std::vector<routing::tenant>& tenants);
    /// Takes a node's report over and grants what the limits leave.
    permit_answer answer(const permit_report& report, instant now);
    /// Forgets nodes that have been silent until nothing of theirs counts any more.
    void expire(instant now);

    /// Permits of the tenant that count at present: spent within the window, or lent.
    [[nodiscard]] std::uint64_t in_use(const tenant_name& tenant) const;
    /// Entries that are kept, one for each tenant that is active at a node.
    [[nodiscard]] std::size_t entries() const;

  private:
    /// One tenant at one node.
    struct share {
        std::uint64_t spent = 0;
        std::uint64_t ceiling = 0;
        std::uint32_t recent = 0;

        [[nodiscard]] std::uint64_t lent() const { return ceiling > spent ? ceiling - spent : 0; }
        [[nodiscard]] std::uint64_t counted() const { return recent + lent(); }
    };
    struct known_node {
        std::uint64_t question = 0;
        instant heard{};
        std::unordered_map<tenant_name, share> shares;
    };
    struct account {
        double rate_per_second = 0;
        double limit = 0;
        /// Spent and lent together never go beyond it.
        double bound = 0;
        /// Spent within the window and lent.
        std::uint64_t counted = 0;
        std::uint64_t spent = 0;
        /// Granted to waiting calls since this keeper began.
        double granted_while_settling = 0;
    };

    using node_life = std::pair<node_name, std::uint64_t>;

    void take(known_node& node, const permit_use& use);
    /// @return nothing when the node's ceiling stays as it reported it
    std::optional<permit_grant> grant(known_node& node, const permit_use& use, instant now);
    /// Permits that may be lent to one node.
    struct lendable {
        /// For calls that wait there, of programs under way and of new ones.
        double needed = 0;
        double beginning = 0;
        /// For calls to come.
        double spare = 0;
    };
    [[nodiscard]] lendable lendable_to(const permit_use& use, account& held, instant now) const;
    /// Takes a node's share out of the sums, or puts it back.
    static void add(account& held, const share& known);
    static void remove(account& held, const share& known);
    /// Milliseconds until so many permits are free again: what was spent comes back a window later,
    /// on the mean at the pace that the limit allows.
    [[nodiscard]] std::uint32_t time_to_free(const account& held, double permits) const;
    void drop_unnamed(known_node& node, const std::vector<permit_use>& uses);
    void forget(known_node& node);

    quota_rules rules_;
    instant started_{};
    std::unordered_map<tenant_name, account> accounts_;
    std::map<node_life, known_node> nodes_;
};

}  // namespace tallyfold::tenants
