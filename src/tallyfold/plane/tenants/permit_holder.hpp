#pragma once
/// @file
/// The permits that one node may spend, tenant by tenant. Pure; the keeper's other side.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/routing/configuration.hpp"
#include "tallyfold/plane/tenants/messages.hpp"
#include "tallyfold/plane/tenants/permit_lender.hpp"
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
    /// A tenant that has not called for this long is given no permits for calls to come.
    static constexpr duration interest = std::chrono::seconds(20);
    /// Permits at hand last for the calls of this long, at the tenant's pace at this node. Enough
    /// for a keeper's election, which takes 0.5 to 1 s.
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
    /// Spends one without the keeper's word, while it is silent: a node may go on at the pace at
    /// which it was last let, and one call more, so all such nodes together stay near what the
    /// keeper had counted.
    bool take_unasked(const tenant_name& tenant, instant now);
    /// The call was not run.
    void give_back(const tenant_name& tenant, instant now);
    /// A call waits for a permit.
    void begin_wait(const tenant_name& tenant, permit_need need);
    void end_wait(const tenant_name& tenant, permit_need need);

    /// True when something has changed that the keeper should know, or leases should be renewed.
    [[nodiscard]] bool should_report(instant now);
    /// What to ask now; the answer to an earlier report is void from here on.
    permit_report report(instant now);
    /// @return false when the answer is to another question, or refused: the next report is whole
    bool apply(const permit_answer& answer, instant now);
    /// No answer came to the last report.
    void unanswered() { whole_next_ = true; }
    /// True while the keeper, new itself, refuses what it may not refuse later: a node goes on as
    /// without a keeper.
    [[nodiscard]] bool keeper_settles() const { return keeper_settles_; }
    /// When there may be room again, as the last answer said for this tenant's waiting calls.
    [[nodiscard]] duration room_after(const tenant_name& tenant, permit_need need) const;
    /// The number of the last report.
    [[nodiscard]] std::uint64_t question() const { return question_; }
    /// Tenants that are known here, with their permits at hand.
    [[nodiscard]] std::size_t active() const { return tenants_.size(); }

  private:
    struct held_permits {
        explicit held_permits(duration window) : recent(window), unasked(window) {}
        std::uint64_t spent = 0;
        std::uint64_t ceiling = 0;
        spent_window recent;
        /// Of those, the ones that were spent without the keeper's word.
        spent_window unasked;
        /// What of `recent` the keeper had let when it last answered.
        std::uint32_t proven = 0;
        std::uint32_t waiting_under_way = 0;
        std::uint32_t waiting_new = 0;
        std::uint32_t room_after_ms = 0;
        std::uint32_t room_to_begin_ms = 0;
        instant last_call{};
        /// As the keeper knows it.
        permit_use told;
    };

    held_permits& of(const tenant_name& tenant);
    permit_use describe(const tenant_name& tenant, held_permits& held, instant now);
    [[nodiscard]] bool lease_holds(instant now) const { return now < lease_end_; }

    quota_rules rules_;
    node_name node_;
    std::uint64_t life_;
    bool spare_ = true;
    std::unordered_set<tenant_name> limited_;
    std::unordered_map<tenant_name, held_permits> tenants_;
    std::uint64_t question_ = 0;
    instant asked_{};
    instant lease_end_{};
    bool whole_next_ = true;
    bool open_ = false;
    bool keeper_settles_ = false;
    std::vector<permit_use> asked_uses_;
};

}  // namespace tallyfold::tenants
