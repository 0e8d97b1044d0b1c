#pragma once
/// @file
/// Lends the permits of all tenants to the nodes that spend them. Pure; owns the sums of what is
/// spent and lent. Runs at the directory's leader, the lender; permit_rule decides how much.
///
/// A tenant's limit is rate x window + burst, in any span as long as the window. Each node counts
/// for itself what it has spent within the last window; the lender adds those counts up with what
/// the nodes may still spend. Two bounds hold: a call that asks is let in while what is spent stays
/// below the limit, and what is spent and lent together never exceeds the limit with the allowance
/// that operators give for its enforcement over many nodes. So permits that lie ready at some nodes
/// aren't taken from the tenant's calls at others. A count that is late is too high, never too low,
/// so the second bound holds whatever is delayed. The state is soft: a new lender has it again once
/// each node has reported, but for what nodes spent that are gone. So the lender also notes when
/// permits were spent, and holds the pace of permit_rule, by which the next lender needn't know
/// that.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/routing/configuration.hpp"
#include "tallyfold/plane/tenants/messages.hpp"
#include "tallyfold/plane/tenants/permit_rule.hpp"
#include "tallyfold/plane/tenants/quota_rules.hpp"
#include "tallyfold/plane/tenants/spent_window.hpp"

namespace tallyfold::tenants {

class permit_lender {
  public:
    explicit permit_lender(quota_rules rules) : rules_(rules) {}

    /// This node begins to lend permits; what it knew from before is void.
    void start(instant now);
    /// The limits in force.
    void use(const std::vector<routing::tenant>& tenants);
    /// Takes a node's report over and grants what the limits leave.
    permit_answer answer(const permit_report& report, instant now);
    /// Forgets nodes that have been silent until nothing of theirs counts any more.
    void expire(instant now);

    /// Permits of the tenant that count at present: spent within the window, or lent. Tests hold
    /// the sums to account by it.
    [[nodiscard]] std::uint64_t in_use(const tenant_name& tenant) const;
    /// True when that life of the node has reported to this lender.
    [[nodiscard]] bool knows(const node_name& node, std::uint64_t life) const;
    /// Entries that are kept, one for each tenant that is active at a node; for the measurement of
    /// a lender's memory (tallyfold-admission-bench).
    [[nodiscard]] std::size_t entries() const;

  private:
    /// One tenant at one node; the fields as in permit_use.
    struct share {
        std::uint64_t spent = 0;
        std::uint64_t ceiling = 0;
        std::uint32_t recent = 0;
        /// Ceiling that the node had when this lender first heard of the share.
        std::uint64_t inherited = 0;

        [[nodiscard]] std::uint64_t lent() const { return ceiling > spent ? ceiling - spent : 0; }
        [[nodiscard]] std::uint64_t counted() const { return recent + lent(); }
        /// Negative when the node has returned some of what it had.
        [[nodiscard]] double lent_since_start() const {
            return static_cast<double>(std::max(ceiling, spent)) - static_cast<double>(inherited);
        }
    };
    struct known_node {
        std::uint64_t question = 0;
        instant last_report{};
        std::unordered_map<tenant_name, share> shares;
    };
    /// One tenant's limit, and when its permits were spent, as far as the nodes have told.
    struct account {
        limit_use use;
        spent_window spending;
    };
    using node_life = std::pair<node_name, std::uint64_t>;

    /// An account of a tenant that is new in the configuration, or back in it.
    [[nodiscard]] account open_account(const tenant_name& tenant) const;
    /// Takes over what a node says that it has spent and may spend of one tenant's permits.
    void take(known_node& node, const permit_use& use, instant now);
    /// Notes when permits were spent. @param known what the node said before; null for a share that
    /// this lender hasn't heard of
    void note_spending(account& held, const share* known, const permit_use& use, instant now);
    /// See limit_use. @param held without what the asking node has been lent
    static double left_by_pace(account& held, instant now);
    /// @return nothing when the node's ceiling stays as it reported it
    std::optional<permit_grant> grant(known_node& node, const permit_use& use, instant now);
    /// Tells when there may be room for the calls that got nothing.
    void name_waiting_times(permit_grant& granted, const permit_use& use, const lendable& lent,
                            const limit_use& held) const;
    /// Takes a node's share out of the sums, or puts it back.
    static void add(limit_use& held, const share& known);
    static void remove(limit_use& held, const share& known);
    /// Drops the node's shares of tenants that a whole report doesn't name.
    void drop_unnamed(known_node& node, const std::vector<permit_use>& uses);
    void forget(known_node& node);

    quota_rules rules_;
    instant started_{};
    std::unordered_map<tenant_name, account> tenants_;
    std::map<node_life, known_node> nodes_;
};

}  // namespace tallyfold::tenants
