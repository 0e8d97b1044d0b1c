#include "tallyfold/plane/tenants/permit_holder.hpp"

#include <algorithm>
#include <cmath>

namespace tallyfold::tenants {

void permit_holder::use(const std::vector<routing::tenant>& tenants) {
    limited_tenants_.clear();
    for (const routing::tenant& tenant : tenants) {
        if (tenant.is_limited()) {
            limited_tenants_.insert(tenant.name);
        }
    }
}

permit_holder::held_permits& permit_holder::permits_of(const tenant_name& tenant) {
    return tenants_.try_emplace(tenant, rules_.window).first->second;
}

bool permit_holder::try_acquire(const tenant_name& tenant, instant now) {
    if (!limited(tenant)) {
        return true;
    }
    held_permits& held = permits_of(tenant);
    held.last_call = now;
    if (!lease_is_valid(now) || held.spent >= held.spent_limit) {
        return false;
    }
    ++held.spent;
    held.recent.add(now);
    return true;
}

bool permit_holder::try_acquire_without_lender(const tenant_name& tenant, instant now) {
    held_permits& held = permits_of(tenant);
    held.last_call = now;
    // A settling lender has refused the permit. A node without recently granted permits has no rate
    // of its own to continue at, and one call each at many nodes would exceed the bound.
    if (lender_settling_ && held.granted_recent == 0) {
        return false;
    }
    const double permitted = held.granted_recent * (1 + rules_.overshoot);
    if (held.recent.count(now) > permitted) {
        return false;
    }
    ++held.spent;
    held.spent_limit = std::max(held.spent_limit, held.spent);
    held.recent.add(now);
    held.spent_without_lender.add(now);
    return true;
}

bool permit_holder::release(const tenant_name& tenant, instant taken, instant now) {
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end()) {
        return false;
    }
    held_permits& held = found->second;
    // A permit that has left the window is already free at the lender. Spent again here, it would
    // not be counted until the next report.
    if (!held.recent.remove_at(taken, now)) {
        return false;
    }
    --held.spent;
    return true;
}

void permit_holder::begin_wait(const tenant_name& tenant, permit_need need) {
    held_permits& held = permits_of(tenant);
    ++(need == permit_need::running_program ? held.waiting_running : held.waiting_new);
}

void permit_holder::end_wait(const tenant_name& tenant, permit_need need) {
    held_permits& held = permits_of(tenant);
    std::uint32_t& waiting =
        need == permit_need::running_program ? held.waiting_running : held.waiting_new;
    waiting -= std::min(waiting, 1U);
}

permit_use permit_holder::current_use(const tenant_name& tenant, held_permits& held, instant now) {
    if (!lease_is_valid(now)) {
        held.spent_limit = held.spent;
    }
    permit_use use;
    use.tenant = tenant;
    use.spent = held.spent;
    use.spent_limit = std::max(held.spent_limit, held.spent);
    use.spent_in_window = held.recent.count(now);
    use.waiting_running = held.waiting_running;
    use.waiting_new = held.waiting_new;
    if (spare_permits_enabled_ && limited(tenant) && now - held.last_call < tenant_idle_timeout) {
        const double expected_calls =
            static_cast<double>(use.spent_in_window) * spare_permit_horizon / rules_.window;
        use.spare_wanted += 1 + static_cast<std::uint32_t>(std::ceil(expected_calls));
    }
    return use;
}

bool permit_holder::should_report(instant now) {
    if (!has_limits()) {
        return false;
    }
    if (full_report_due_ || now + rules_.lease / 2 >= lease_end_) {
        return true;
    }
    for (auto& [tenant, held] : tenants_) {
        if (current_use(tenant, held, now) != held.acknowledged_use) {
            return true;
        }
    }
    return false;
}

permit_report permit_holder::report(instant now) {
    permit_report report;
    report.node = node_;
    report.process_id = process_id_;
    report.sequence = ++sequence_;
    report.is_full = full_report_due_;
    for (auto entry = tenants_.begin(); entry != tenants_.end();) {
        auto& [tenant, held] = *entry;
        permit_use use = current_use(tenant, held, now);
        const bool idle = use.spent_in_window == 0 && use.spent_limit == use.spent &&
                          use.spare_wanted == 0 && use.waiting_running == 0 &&
                          use.waiting_new == 0 && now - held.last_call >= tenant_idle_timeout;
        if (idle && (full_report_due_ || use == held.acknowledged_use)) {
            entry = tenants_.erase(entry);
            continue;
        }
        if (full_report_due_ || use != held.acknowledged_use || use.waiting_running > 0 ||
            use.waiting_new > 0) {
            report.uses.push_back(std::move(use));
        }
        ++entry;
    }
    report_sent_ = now;
    reported_uses_ = report.uses;
    awaits_answer_ = true;
    full_report_due_ = false;
    return report;
}

bool permit_holder::apply(const permit_answer& answer, instant now) {
    if (!awaits_answer_ || answer.sequence != sequence_) {
        return false;
    }
    awaits_answer_ = false;
    if (answer.outcome != permit_outcome::granted) {
        full_report_due_ = true;
        return false;
    }
    lease_end_ = report_sent_ + rules_.lease;
    record_acknowledged_uses();
    apply_grants(answer.grants);
    lender_settling_ = answer.settling;
    if (!lender_settling_) {
        record_granted_recent(now);
    }
    return true;
}

void permit_holder::record_acknowledged_uses() {
    for (permit_use& use : reported_uses_) {
        const auto found = tenants_.find(use.tenant);
        if (found != tenants_.end()) {
            found->second.retry_after_ms = 0;
            found->second.retry_new_program_after_ms = 0;
            found->second.acknowledged_use = std::move(use);
        }
    }
    reported_uses_.clear();
}

void permit_holder::apply_grants(const std::vector<permit_grant>& grants) {
    for (const permit_grant& granted : grants) {
        const auto found = tenants_.find(granted.tenant);
        if (found == tenants_.end()) {
            continue;
        }
        found->second.spent_limit = granted.spent_limit;
        // Keeps the higher limit as acknowledged, so that a lowered one is reported: the lender
        // frees the permits only then.
        found->second.acknowledged_use.spent_limit =
            std::max(granted.spent_limit, found->second.acknowledged_use.spent_limit);
        found->second.retry_after_ms = granted.retry_after_ms;
        found->second.retry_new_program_after_ms = granted.retry_new_program_after_ms;
    }
}

void permit_holder::record_granted_recent(instant now) {
    for (auto& [tenant, held] : tenants_) {
        const std::uint32_t recent = held.recent.count(now);
        held.granted_recent = recent - std::min(recent, held.spent_without_lender.count(now));
    }
}

duration permit_holder::retry_after(const tenant_name& tenant, permit_need need) const {
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end()) {
        return duration::zero();
    }
    const bool begins = need == permit_need::new_program;
    return std::chrono::milliseconds(begins ? found->second.retry_new_program_after_ms
                                            : found->second.retry_after_ms);
}

}  // namespace tallyfold::tenants
