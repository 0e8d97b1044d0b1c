#pragma once
/// @file
/// Lends the permits of all tenants to the nodes that spend them. Pure; owns the sums of spent and
/// lent permits. Runs at the directory's leader, the lender; permit_rule decides how much is lent.
///
/// A tenant's limit is rate x window + burst, in any span as long as the window. Each node counts
/// what it has spent within the last window; the lender adds up those counts and what the nodes may
/// still spend:
/// - a waiting call is granted a permit while the tenant's spent permits stay below the limit;
/// - spent and lent permits together never exceed the bound, which is the limit plus the configured
///   allowance, so permits held in advance at some nodes don't block the tenant's calls at others;
/// - a late count is too high, never too low, so the bound holds whatever is delayed.
///
/// The state is soft: a new lender rebuilds it from the nodes' reports, except for the spending of
/// nodes that are gone. Therefore the lender also records when permits were spent and enforces the
/// token bucket of permit_rule, which keeps the bound without that knowledge.

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
#include "tallyfold/plane/tenants/sliding_window_counter.hpp"

namespace tallyfold::tenants {

class permit_lender {
  public:
    explicit permit_lender(quota_rules rules) : rules_(rules) {}

    /// Starts lending; discards the shares of an earlier term.
    void start(instant now);
    /// Sets the tenants' limits.
    void use(const std::vector<routing::tenant>& tenants);
    /// Applies a node's report and grants what the limits allow.
    permit_answer answer(const permit_report& report, instant now);
    /// Removes nodes that have not reported for so long that none of their permits count any more.
    void expire(instant now);

    /// Permits of the tenant that count at present, spent within the window or lent. For tests.
    [[nodiscard]] std::uint64_t in_use(const tenant_name& tenant) const;
    /// True when that process of the node has reported to this lender.
    [[nodiscard]] bool has_report_from(const node_name& node, std::uint64_t process_id) const;
    /// Number of entries, one for each tenant that is active at a node. For measurements of memory.
    [[nodiscard]] std::size_t share_count() const;

  private:
    /// One tenant's permits at one node; fields as in permit_use.
    struct share {
        std::uint64_t spent = 0;
        std::uint64_t spent_limit = 0;
        std::uint32_t spent_in_window = 0;
        /// The spent_limit in the node's first report to this lender.
        std::uint64_t initial_spent_limit = 0;

        [[nodiscard]] std::uint64_t lent() const {
            return spent_limit > spent ? spent_limit - spent : 0;
        }
        [[nodiscard]] std::uint64_t counted() const { return spent_in_window + lent(); }
        /// Negative when the node has returned permits of its first report.
        [[nodiscard]] double lent_since_start() const {
            return static_cast<double>(std::max(spent_limit, spent)) -
                   static_cast<double>(initial_spent_limit);
        }
    };
    struct node_entry {
        std::uint64_t sequence = 0;
        instant last_report{};
        std::unordered_map<tenant_name, share> shares;
    };
    /// One tenant's limit, and when its permits were spent according to the reports.
    struct account {
        limit_use use;
        sliding_window_counter spending;
    };
    using node_process_id = std::pair<node_name, std::uint64_t>;

    /// Account of a tenant that was added to the configuration, with what nodes already hold of it.
    [[nodiscard]] account open_account(const tenant_name& tenant) const;
    /// Replaces the node's share of one tenant by the reported one.
    void update_share(node_entry& node, const permit_use& use, instant now);
    /// Records when permits were spent.
    /// @param known the node's previous share; null when there is none
    void record_spending(account& held, const share* known, const permit_use& use, instant now);
    /// See limit_use. @param held without what the requesting node has been lent
    static double left_by_token_bucket(account& held, instant now);
    /// @return nothing when the reported spent_limit stays and all waiting calls are granted
    std::optional<permit_grant> grant(node_entry& node, const permit_use& use, instant now);
    /// Sets the retry delays for calls that were not granted.
    void set_retry_delays(permit_grant& granted, const permit_use& use, const granted_permits& lent,
                          const limit_use& held) const;
    /// Adds a node's share to the sums, or subtracts it.
    static void add(limit_use& held, const share& known);
    static void remove(limit_use& held, const share& known);
    /// Drops the node's shares of tenants that a full report omits.
    void drop_unreported(node_entry& node, const std::vector<permit_use>& uses);
    void release_shares(node_entry& node);

    quota_rules rules_;
    instant started_{};
    std::unordered_map<tenant_name, account> tenants_;
    std::map<node_process_id, node_entry> nodes_;
};

}  // namespace tallyfold::tenants
