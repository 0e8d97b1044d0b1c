#pragma once
/// @file
/// The permits that one node may spend, tenant by tenant. Pure; the counterpart of permit_lender,
/// whose leases it spends. Owns what the node has spent, its ceilings and the calls that wait;
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
#include "tallyfold/plane/tenants/spent_window.hpp"

namespace tallyfold::tenants {

/// Why a call asks for a permit.
enum class permit_need : std::uint8_t {
    /// Its program has begun: refusing it loses the whole program.
    under_way,
    /// It begins a program.
    new_program,
};

class permit_holder {
  public:
    /// A tenant that has not called for this long is given no permits for calls to come. Chosen,
    /// not measured: four of the windows over which limits hold by default.
    static constexpr duration interest = std::chrono::seconds(20);
    /// Permits at hand last for the calls of this long, at the tenant's pace at this node. Above a
    /// lender's election, which takes 0.5 to 1 s; chosen, not measured by itself.
    static constexpr duration provision = std::chrono::milliseconds(1'500);

    /// @param life differs from life to life of the process
    permit_holder(quota_rules rules, node_name node, std::uint64_t life)
        : rules_(rules), node_(std::move(node)), life_(life) {}

    /// The limits in force; tenants without one need no permits.
    void use(const std::vector<routing::tenant>& tenants);
    [[nodiscard]] bool limited(const tenant_name& tenant) const {
        return limited_.contains(tenant);
    }
    /// False while no tenant has a limit.
    [[nodiscard]] bool has_limits() const { return !limited_.empty(); }
    /// @param spare false: no permits are held for calls to come, each asks for its own
    void keep_spare(bool spare) { spare_ = spare; }

    /// Spends a permit that is at hand. @return false when there is none
    bool take(const tenant_name& tenant, instant now);
    /// Spends one without the lender's word, while it is silent: a node may go on at the pace at
    /// which it was last let, and one call more, so all such nodes together stay near what the
    /// lender had counted. While a new lender settles, only nodes that have such a pace do.
    bool take_without_lender(const tenant_name& tenant, instant now);
    /// The call was not run: its permit may be spent again, unless it has left the window.
    /// @param taken when the permit was spent
    /// @return false when it has left the window
    bool give_back(const tenant_name& tenant, instant taken, instant now);
    /// A call waits for a permit.
    void begin_wait(const tenant_name& tenant, permit_need need);
    void end_wait(const tenant_name& tenant, permit_need need);

    /// True when something has changed that the lender should know, or leases should be renewed.
    [[nodiscard]] bool should_report(instant now);
    /// What to ask now; the answer to an earlier report is void from here on.
    permit_report report(instant now);
    /// @return false when the answer is to another question, or refused: the next report is whole
    bool apply(const permit_answer& answer, instant now);
    /// No answer came to the last report.
    void unanswered() {
        next_is_whole_ = true;
        lender_settles_ = false;
    }
    /// True while the lender, new itself, refuses what it may not refuse later: a node goes on as
    /// without a lender.
    [[nodiscard]] bool lender_settles() const { return lender_settles_; }
    /// When there may be room again, as the last answer said for this tenant's waiting calls.
    [[nodiscard]] duration retry_after(const tenant_name& tenant, permit_need need) const;
    /// The number of the last report.
    [[nodiscard]] std::uint64_t question() const { return question_; }
    /// Tenants that are known here, with their permits at hand.
    [[nodiscard]] std::size_t active() const { return tenants_.size(); }

  private:
    struct held_permits {
        explicit held_permits(duration window) : recent(window), spent_without_lender(window) {}
        /// Permits that were spent in this life, less those that were given back.
        std::uint64_t spent = 0;
        /// Value of `spent` up to which it may go while the lease holds.
        std::uint64_t ceiling = 0;
        /// Those that were spent within the window.
        spent_window recent;
        /// Of those, the ones that were spent without the lender's word.
        spent_window spent_without_lender;
        /// What of `recent` the lender had let when it last answered.
        std::uint32_t proven = 0;
        /// Calls that wait for a permit, of programs under way and of new ones.
        std::uint32_t waiting_under_way = 0;
        std::uint32_t waiting_new = 0;
        /// As in the last permit_grant.
        std::uint32_t retry_after_ms = 0;
        std::uint32_t retry_new_program_after_ms = 0;
        instant last_call{};
        /// As the lender knows it.
        permit_use told;
    };

    /// The last report's uses are what the lender knows now.
    void note_told();
    void take_grants(const std::vector<permit_grant>& grants);
    /// What the lender had let the node spend of late: the pace that it may keep without it.
    void note_proven_pace(instant now);
    held_permits& of(const tenant_name& tenant);
    permit_use describe(const tenant_name& tenant, held_permits& held, instant now);
    [[nodiscard]] bool lease_holds(instant now) const { return now < lease_end_; }

    quota_rules rules_;
    node_name node_;
    std::uint64_t life_;
    bool spare_ = true;
    std::unordered_set<tenant_name> limited_;
    std::unordered_map<tenant_name, held_permits> tenants_;
    /// Number of the last report.
    std::uint64_t question_ = 0;
    instant report_sent_{};
    instant lease_end_{};
    /// The lender has to hear all tenants next, not only what has changed.
    bool next_is_whole_ = true;
    /// The last report has got no answer yet.
    bool awaits_answer_ = false;
    bool lender_settles_ = false;
    std::vector<permit_use> reported_uses_;
};

}  // namespace tallyfold::tenants
