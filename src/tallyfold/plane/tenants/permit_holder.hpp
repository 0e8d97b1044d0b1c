#pragma once
/// @file
/// Permits that one node may spend, by tenant. Pure; counterpart of permit_lender, whose leases it
/// spends. Owns the node's counts of spent permits and waiting calls, and its spent limits;
/// quota_client carries the messages.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/routing/configuration.hpp"
#include "tallyfold/plane/tenants/messages.hpp"
#include "tallyfold/plane/tenants/quota_rules.hpp"
#include "tallyfold/plane/tenants/sliding_window_counter.hpp"

namespace tallyfold::tenants {

/// Kind of call that requests a permit.
enum class permit_need : std::uint8_t {
    /// Belongs to a running program, which fails as a whole when the call is refused.
    running_program,
    /// Starts a program.
    new_program,
};

class permit_holder {
  public:
    /// Time without calls after which no permits are held in advance for a tenant.
    static constexpr duration tenant_idle_timeout = std::chrono::seconds(20);
    /// Period of a tenant's calls at this node that permits held in advance cover. Longer than the
    /// election of a new lender.
    static constexpr duration spare_permit_horizon = std::chrono::milliseconds(1'500);

    /// @param process_id identifies the process; differs after each restart
    permit_holder(quota_rules rules, node_name node, std::uint64_t process_id)
        : rules_(rules), node_(std::move(node)), process_id_(process_id) {}

    /// Sets the tenants' limits. Tenants without a limit need no permits.
    void use(const std::vector<routing::tenant>& tenants);
    [[nodiscard]] bool limited(const tenant_name& tenant) const {
        return limited_tenants_.contains(tenant);
    }
    [[nodiscard]] bool has_limits() const { return !limited_tenants_.empty(); }
    /// @param spare false: no permits are held in advance, and each call requests its own
    void set_spare_permits(bool spare) { spare_permits_enabled_ = spare; }

    /// Spends an available permit. @return false when there is none
    bool try_acquire(const tenant_name& tenant, instant now);
    /// Spends a permit while the lender is unavailable. A node may continue at the rate that was
    /// last granted to it, plus one call, so that all nodes together stay close to what the lender
    /// has counted. While a new lender settles, only nodes with a granted rate may continue.
    bool try_acquire_without_lender(const tenant_name& tenant, instant now);
    /// Returns the permit of a call that was not run, so that it can be spent again.
    /// @param taken when the permit was spent
    /// @return false when the permit has left the window, and nothing changes
    bool release(const tenant_name& tenant, instant taken, instant now);
    /// Counts a call that waits for a permit, until end_wait().
    void begin_wait(const tenant_name& tenant, permit_need need);
    void end_wait(const tenant_name& tenant, permit_need need);

    /// True when the lender lacks a change, or the lease is due for renewal.
    [[nodiscard]] bool should_report(instant now);
    /// Builds the next report. Answers to earlier reports are ignored from then on.
    permit_report report(instant now);
    /// Applies the lender's answer. After a refused report, the next one is a full report.
    /// @return false when the answer is a refusal, or not the one to the last report
    bool apply(const permit_answer& answer, instant now);
    /// Records that the last report got no answer.
    void unanswered() {
        full_report_due_ = true;
        lender_settling_ = false;
    }
    /// True while the lender has started recently and may refuse permits that it would grant later.
    /// The node then proceeds as without a lender.
    [[nodiscard]] bool lender_settling() const { return lender_settling_; }
    /// Delay after which permits may be free for the tenant's waiting calls, from the last answer.
    [[nodiscard]] duration retry_after(const tenant_name& tenant, permit_need need) const;
    /// Sequence number of the last report.
    [[nodiscard]] std::uint64_t sequence() const { return sequence_; }
    /// Number of tenants with state at this node.
    [[nodiscard]] std::size_t tenant_count() const { return tenants_.size(); }

  private:
    struct held_permits {
        explicit held_permits(duration window) : recent(window), spent_without_lender(window) {}
        /// Permits spent by this process, less those returned.
        std::uint64_t spent = 0;
        /// Value that `spent` may reach while the lease is valid.
        std::uint64_t spent_limit = 0;
        /// Permits spent within the window.
        sliding_window_counter recent;
        /// Permits of `recent` that were spent without a grant of the lender.
        sliding_window_counter spent_without_lender;
        /// Permits of `recent` that the lender had granted by its last answer.
        std::uint32_t granted_recent = 0;
        /// Calls that wait for a permit, of running programs and of new ones.
        std::uint32_t waiting_running = 0;
        std::uint32_t waiting_new = 0;
        /// As in the last permit_grant.
        std::uint32_t retry_after_ms = 0;
        std::uint32_t retry_new_program_after_ms = 0;
        instant last_call{};
        /// Use as last acknowledged by the lender.
        permit_use acknowledged_use;
    };

    /// Marks the uses in the last report as acknowledged by the lender.
    void record_acknowledged_uses();
    void apply_grants(const std::vector<permit_grant>& grants);
    /// Records how many recent permits the lender granted: the rate that the node may keep without
    /// it.
    void record_granted_recent(instant now);
    held_permits& permits_of(const tenant_name& tenant);
    permit_use current_use(const tenant_name& tenant, held_permits& held, instant now);
    [[nodiscard]] bool lease_is_valid(instant now) const { return now < lease_end_; }

    quota_rules rules_;
    node_name node_;
    std::uint64_t process_id_;
    bool spare_permits_enabled_ = true;
    std::unordered_set<tenant_name> limited_tenants_;
    std::unordered_map<tenant_name, held_permits> tenants_;
    /// Sequence number of the last report.
    std::uint64_t sequence_ = 0;
    instant report_sent_{};
    instant lease_end_{};
    /// The next report lists all tenants, not only those that changed.
    bool full_report_due_ = true;
    bool awaits_answer_ = false;
    bool lender_settling_ = false;
    std::vector<permit_use> reported_uses_;
};

}  // namespace tallyfold::tenants
