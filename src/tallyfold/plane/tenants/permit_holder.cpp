#include "tallyfold/plane/tenants/permit_holder.hpp"

#include <algorithm>
#include <cmath>

namespace tallyfold::tenants {

void permit_holder::use(const std::vector<routing::tenant>& tenants) {
    limited_.clear();
    for (const routing::tenant& tenant : tenants) {
        if (tenant.is_limited()) {
            limited_.insert(tenant.name);
        }
    }
}

permit_holder::held_permits& permit_holder::of(const tenant_name& tenant) {
    return tenants_.try_emplace(tenant, rules_.window).first->second;
}

bool permit_holder::take(const tenant_name& tenant, instant now) {
    if (!limited(tenant)) {
        return true;
    }
    held_permits& held = of(tenant);
    held.last_call = now;
    if (!lease_holds(now) || held.spent >= held.ceiling) {
        return false;
    }
    ++held.spent;
    held.recent.add(now);
    return true;
}

bool permit_holder::take_unasked(const tenant_name& tenant, instant now) {
    held_permits& held = of(tenant);
    held.last_call = now;
    const double pace = held.proven * (1 + rules_.overshoot);
    if (held.recent.count(now) > pace) {
        return false;
    }
    ++held.spent;
    held.ceiling = std::max(held.ceiling, held.spent);
    held.recent.add(now);
    held.unasked.add(now);
    return true;
}

void permit_holder::give_back(const tenant_name& tenant, instant now) {
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end() || found->second.spent == 0) {
        return;
    }
    --found->second.spent;
    found->second.recent.take_back(now);
}

void permit_holder::begin_wait(const tenant_name& tenant, permit_need need) {
    held_permits& held = of(tenant);
    ++(need == permit_need::under_way ? held.waiting_under_way : held.waiting_new);
}

void permit_holder::end_wait(const tenant_name& tenant, permit_need need) {
    held_permits& held = of(tenant);
    std::uint32_t& waiting =
        need == permit_need::under_way ? held.waiting_under_way : held.waiting_new;
    waiting -= std::min(waiting, 1U);
}

permit_use permit_holder::describe(const tenant_name& tenant, held_permits& held, instant now) {
    if (!lease_holds(now)) {
        held.ceiling = held.spent;
    }
    permit_use use;
    use.tenant = tenant;
    use.spent = held.spent;
    use.ceiling = std::max(held.ceiling, held.spent);
    use.recent = held.recent.count(now);
    use.needed = held.waiting_under_way;
    use.beginning = held.waiting_new;
    if (spare_ && limited(tenant) && now - held.last_call < interest) {
        const double pace = static_cast<double>(use.recent) * provision / rules_.window;
        use.wanted += 1 + static_cast<std::uint32_t>(std::ceil(pace));
    }
    return use;
}

bool permit_holder::should_report(instant now) {
    if (!has_limits()) {
        return false;
    }
    if (whole_next_ || now + rules_.lease / 2 >= lease_end_) {
        return true;
    }
    for (auto& [tenant, held] : tenants_) {
        if (describe(tenant, held, now) != held.told) {
            return true;
        }
    }
    return false;
}

permit_report permit_holder::report(instant now) {
    permit_report report;
    report.node = node_;
    report.life = life_;
    report.question = ++question_;
    report.whole = whole_next_;
    for (auto entry = tenants_.begin(); entry != tenants_.end();) {
        auto& [tenant, held] = *entry;
        permit_use use = describe(tenant, held, now);
        const bool idle = use.recent == 0 && use.ceiling == use.spent && use.wanted == 0 &&
                          use.needed == 0 && use.beginning == 0 && now - held.last_call >= interest;
        if (idle && (whole_next_ || use == held.told)) {
            entry = tenants_.erase(entry);
            continue;
        }
        if (whole_next_ || use != held.told || use.needed > 0 || use.beginning > 0) {
            report.uses.push_back(std::move(use));
        }
        ++entry;
    }
    asked_ = now;
    asked_uses_ = report.uses;
    open_ = true;
    whole_next_ = false;
    return report;
}

bool permit_holder::apply(const permit_answer& answer, instant now) {
    if (!open_ || answer.question != question_) {
        return false;
    }
    open_ = false;
    if (answer.outcome != permit_outcome::granted) {
        whole_next_ = true;
        return false;
    }
    lease_end_ = asked_ + rules_.lease;
    for (permit_use& use : asked_uses_) {
        const auto found = tenants_.find(use.tenant);
        if (found != tenants_.end()) {
            found->second.room_after_ms = 0;
            found->second.room_to_begin_ms = 0;
            found->second.told = std::move(use);
        }
    }
    asked_uses_.clear();
    for (const permit_grant& granted : answer.grants) {
        const auto found = tenants_.find(granted.tenant);
        if (found == tenants_.end()) {
            continue;
        }
        found->second.ceiling = granted.ceiling;
        // A lower ceiling frees permits once the keeper knows that it has come.
        found->second.told.ceiling = std::max(granted.ceiling, found->second.told.ceiling);
        found->second.room_after_ms = granted.room_after_ms;
        found->second.room_to_begin_ms = granted.room_to_begin_ms;
    }
    keeper_settles_ = answer.settling;
    if (!keeper_settles_) {
        for (auto& [tenant, held] : tenants_) {
            const std::uint32_t recent = held.recent.count(now);
            held.proven = recent - std::min(recent, held.unasked.count(now));
        }
    }
    return true;
}

duration permit_holder::room_after(const tenant_name& tenant, permit_need need) const {
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end()) {
        return duration::zero();
    }
    const bool begins = need == permit_need::new_program;
    return std::chrono::milliseconds(begins ? found->second.room_to_begin_ms
                                            : found->second.room_after_ms);
}

}  // namespace tallyfold::tenants
