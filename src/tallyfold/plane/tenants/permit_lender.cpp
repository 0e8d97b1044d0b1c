#include "tallyfold/plane/tenants/permit_lender.hpp"

#include <algorithm>
#include <set>

namespace tallyfold::tenants {

namespace {

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

}  // namespace

void permit_lender::add(limit_use& held, const share& known) {
    held.counted += known.counted();
    held.spent += known.spent_in_window;
    held.lent_since_start += known.lent_since_start();
}

void permit_lender::remove(limit_use& held, const share& known) {
    held.counted -= std::min(held.counted, known.counted());
    held.spent -= std::min<std::uint64_t>(held.spent, known.spent_in_window);
    held.lent_since_start -= known.lent_since_start();
}

void permit_lender::start(instant now) {
    started_ = now;
    nodes_.clear();
    for (auto& [name, held] : tenants_) {
        held.use.counted = 0;
        held.use.spent = 0;
        held.use.lent_since_start = 0;
        held.spending = sliding_window_counter(rules_.window);
    }
}

permit_lender::account permit_lender::open_account(const tenant_name& tenant) const {
    account opened{{}, sliding_window_counter(rules_.window)};
    // Nodes may still hold permits from before the tenant was removed from the configuration.
    for (const auto& [process, node] : nodes_) {
        const auto known = node.shares.find(tenant);
        if (known != node.shares.end()) {
            add(opened.use, known->second);
        }
    }
    return opened;
}

void permit_lender::use(const std::vector<routing::tenant>& tenants) {
    std::unordered_map<tenant_name, account> next;
    for (const routing::tenant& tenant : tenants) {
        const auto known = tenants_.find(tenant.name);
        account held = known == tenants_.end() ? open_account(tenant.name) : known->second;
        held.use.rate_per_second = tenant.rate_per_second;
        held.use.limit = tenant.rate_per_second * seconds(rules_.window) + tenant.burst;
        held.use.bound = held.use.limit * (1 + rules_.overshoot) + rules_.slack;
        held.use.burst_tolerance =
            burst_tolerance_for(held.use, rules_, held.spending.slot_length());
        next.emplace(tenant.name, held);
    }
    tenants_ = std::move(next);
}

void permit_lender::update_share(node_entry& node, const permit_use& use, instant now) {
    const auto tenant = tenants_.find(use.tenant);
    if (tenant == tenants_.end()) {
        return;
    }
    account& held = tenant->second;
    const auto [entry, is_new] = node.shares.try_emplace(use.tenant);
    share& known = entry->second;
    record_spending(held, is_new ? nullptr : &known, use, now);
    remove(held.use, known);
    const std::uint64_t initial_spent_limit =
        is_new ? std::max(use.spent_limit, use.spent) : known.initial_spent_limit;
    known = {use.spent, use.spent_limit, use.spent_in_window, initial_spent_limit};
    add(held.use, known);
}

void permit_lender::record_spending(account& held, const share* known, const permit_use& use,
                                    instant now) {
    if (known == nullptr) {
        // Spending before the lender's start is covered by the rate that it lends at in its first
        // window.
        if (now - started_ >= rules_.window) {
            held.spending.add(now, use.spent_in_window);
        }
        return;
    }
    if (use.spent >= known->spent) {
        // Permits spent since the last report that have left the window precede every span.
        const std::uint64_t spent =
            std::min<std::uint64_t>(use.spent - known->spent, use.spent_in_window);
        held.spending.add(now, static_cast<std::uint32_t>(spent));
    } else {
        held.spending.remove_oldest(known->spent - use.spent, now);
    }
}

double permit_lender::left_by_token_bucket(account& held, instant now) {
    const limit_use& use = held.use;
    double left = std::numeric_limits<double>::infinity();
    held.spending.visit_spans(now, [&](duration length, std::uint32_t spent) {
        left = std::min(left, use.burst_tolerance + use.rate_per_second * seconds(length) - spent);
    });
    const std::uint64_t lent = use.counted - std::min(use.counted, use.spent);
    return left - static_cast<double>(lent);
}

void permit_lender::set_retry_delays(permit_grant& granted, const permit_use& use,
                                     const granted_permits& lent, const limit_use& held) const {
    if (lent.needed < use.waiting_running) {
        granted.retry_after_ms = time_to_free_ms(held, use.waiting_running - lent.needed, rules_);
    }
    if (lent.beginning < use.waiting_new) {
        const double open = held.limit * (1 - reserved_share);
        const double over = std::max(0.0, static_cast<double>(held.spent) - open);
        granted.retry_new_program_after_ms =
            time_to_free_ms(held, over + use.waiting_new - lent.beginning, rules_);
    }
}

std::optional<permit_grant> permit_lender::grant(node_entry& node, const permit_use& use,
                                                 instant now) {
    const auto tenant = tenants_.find(use.tenant);
    if (tenant == tenants_.end()) {
        // The tenant was removed from the configuration: nothing more is lent.
        return permit_grant{use.tenant, use.spent, 0, 0};
    }
    limit_use& held = tenant->second.use;
    share& known = node.shares[use.tenant];
    const double lent_since_start = held.lent_since_start;
    remove(held, known);
    known.spent_limit = known.spent;
    add(held, known);
    limit_use use_without_node = held;
    use_without_node.lent_since_start = lent_since_start;
    use_without_node.left_by_token_bucket = left_by_token_bucket(tenant->second, now);
    const granted_permits lent = lendable_permits(use, use_without_node, now - started_, rules_);
    const double permits = lent.needed + lent.beginning + lent.spare;
    permit_grant granted{use.tenant, known.spent + static_cast<std::uint64_t>(permits), 0, 0};
    remove(held, known);
    // Until the node reports a lower limit, it may spend up to its present one.
    known.spent_limit = std::max(use.spent_limit, granted.spent_limit);
    add(held, known);
    set_retry_delays(granted, use, lent, held);
    const bool all_granted =
        lent.needed >= use.waiting_running && lent.beginning >= use.waiting_new;
    if (granted.spent_limit == use.spent_limit && all_granted) {
        return std::nullopt;
    }
    return granted;
}

void permit_lender::release_shares(node_entry& node) {
    for (const auto& [name, known] : node.shares) {
        const auto tenant = tenants_.find(name);
        if (tenant != tenants_.end()) {
            remove(tenant->second.use, known);
        }
    }
    node.shares.clear();
}

void permit_lender::drop_unreported(node_entry& node, const std::vector<permit_use>& uses) {
    std::set<tenant_name> reported;
    for (const permit_use& use : uses) {
        reported.insert(use.tenant);
    }
    std::erase_if(node.shares, [&](const auto& entry) {
        const auto tenant = tenants_.find(entry.first);
        const bool dropped = !reported.contains(entry.first);
        if (dropped && tenant != tenants_.end()) {
            remove(tenant->second.use, entry.second);
        }
        return dropped;
    });
}

permit_answer permit_lender::answer(const permit_report& report, instant now) {
    permit_answer answer;
    answer.sequence = report.sequence;
    node_entry& node = nodes_[{report.node, report.process_id}];
    const bool follows = node.sequence > 0 && report.sequence > node.sequence;
    if (!report.is_full && !follows) {
        answer.outcome = permit_outcome::full_report_required;
        return answer;
    }
    if (report.sequence <= node.sequence) {
        // The report arrived after a newer one, so it is outdated.
        answer.outcome = permit_outcome::full_report_required;
        return answer;
    }
    answer.settling = now - started_ < settling_time;
    node.sequence = report.sequence;
    node.last_report = now;
    if (report.is_full) {
        drop_unreported(node, report.uses);
    }
    for (const permit_use& use : report.uses) {
        update_share(node, use, now);
    }
    for (const permit_use& use : report.uses) {
        if (auto granted = grant(node, use, now)) {
            answer.grants.push_back(std::move(*granted));
        }
    }
    return answer;
}

void permit_lender::expire(instant now) {
    for (auto node = nodes_.begin(); node != nodes_.end();) {
        if (now - node->second.last_report > rules_.window + rules_.lease) {
            release_shares(node->second);
            node = nodes_.erase(node);
        } else {
            ++node;
        }
    }
}

std::uint64_t permit_lender::in_use(const tenant_name& tenant) const {
    const auto found = tenants_.find(tenant);
    return found == tenants_.end() ? 0 : found->second.use.counted;
}

bool permit_lender::has_report_from(const node_name& node, std::uint64_t process_id) const {
    const auto found = nodes_.find({node, process_id});
    return found != nodes_.end() && found->second.sequence > 0;
}

std::size_t permit_lender::share_count() const {
    std::size_t count = 0;
    for (const auto& [process, node] : nodes_) {
        count += node.shares.size();
    }
    return count;
}

}  // namespace tallyfold::tenants
