#include "tallyfold/plane/tenants/permit_lender.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace tallyfold::tenants {

namespace {

/// The shortest time after which a refused call may come again, in milliseconds.
constexpr double min_room_after_ms = 50;

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

/// Whole permits between what counts and a bound.
double left(double bound, std::uint64_t counted) {
    return std::max(0.0, std::floor(bound - static_cast<double>(counted)));
}

}  // namespace

void permit_lender::add(account& held, const share& known) {
    held.counted += known.counted();
    held.spent += known.recent;
}

void permit_lender::remove(account& held, const share& known) {
    held.counted -= std::min(held.counted, known.counted());
    held.spent -= std::min<std::uint64_t>(held.spent, known.recent);
}

void permit_lender::start(instant now) {
    started_ = now;
    nodes_.clear();
    for (auto& [name, held] : accounts_) {
        held.counted = 0;
        held.spent = 0;
        held.granted_while_settling = 0;
    }
}

void permit_lender::use(const std::vector<routing::tenant>& tenants) {
    std::unordered_map<tenant_name, account> next;
    for (const routing::tenant& tenant : tenants) {
        account held = accounts_[tenant.name];
        held.rate_per_second = tenant.rate_per_second;
        held.limit = tenant.rate_per_second * seconds(rules_.window) + tenant.burst;
        held.bound = held.limit * (1 + rules_.overshoot) + rules_.slack;
        next.emplace(tenant.name, held);
    }
    accounts_ = std::move(next);
}

permit_lender::lendable permit_lender::lendable_to(const permit_use& use, account& held,
                                                   instant now) const {
    const duration known_for = now - started_;
    // A new keeper leaves the allowance to nodes that are cut off or frozen, and were let by the
    // one before it.
    const double bound = known_for < rules_.window ? held.limit : held.bound;
    const double within_bound = left(bound, held.counted);
    const double within_limit = std::min(within_bound, left(held.limit, held.spent));
    lendable lent;
    lent.needed = std::min<double>(use.needed, within_limit);
    if (known_for < settling) {
        const double cautious = held.rate_per_second * seconds(known_for);
        lent.needed = std::min(lent.needed, left(cautious - held.granted_while_settling, 0));
        held.granted_while_settling += lent.needed;
        // What the node had of the keeper before, it may keep.
        const std::uint64_t had = use.ceiling > use.spent ? use.ceiling - use.spent : 0;
        lent.spare = std::min(static_cast<double>(use.wanted), static_cast<double>(had));
    } else {
        const double unreserved = left(held.limit * (1 - reserved_share), held.spent);
        const double open_to_new = std::max(0.0, unreserved - lent.needed);
        lent.beginning = std::min<double>(use.beginning, open_to_new);
        lent.spare = std::min(static_cast<double>(use.wanted), open_to_new - lent.beginning);
    }
    lent.beginning = std::min(lent.beginning, within_bound - lent.needed);
    lent.spare = std::min(lent.spare, within_bound - lent.needed - lent.beginning);
    return lent;
}

std::uint32_t permit_lender::time_to_free(const account& held, double permits) const {
    const double flow = std::max(1.0, held.limit / seconds(rules_.window));
    return static_cast<std::uint32_t>(std::max(min_room_after_ms, permits / flow * 1'000));
}

void permit_lender::take(known_node& node, const permit_use& use) {
    const auto account_of = accounts_.find(use.tenant);
    if (account_of == accounts_.end()) {
        return;
    }
    share& known = node.shares[use.tenant];
    remove(account_of->second, known);
    known = {use.spent, use.ceiling, use.recent};
    add(account_of->second, known);
}

std::optional<permit_grant> permit_lender::grant(known_node& node, const permit_use& use,
                                                 instant now) {
    const auto account_of = accounts_.find(use.tenant);
    if (account_of == accounts_.end()) {
        // No longer in the configuration here: nothing more is lent.
        return permit_grant{use.tenant, use.spent, 0, 0};
    }
    account& held = account_of->second;
    share& known = node.shares[use.tenant];
    remove(held, known);
    known.ceiling = known.spent;
    add(held, known);
    const lendable lent = lendable_to(use, held, now);
    const double permits = lent.needed + lent.beginning + lent.spare;
    permit_grant granted{use.tenant, known.spent + static_cast<std::uint64_t>(permits), 0, 0};
    remove(held, known);
    // Until the node has reported a lower ceiling, it may spend up to the one it has.
    known.ceiling = std::max(use.ceiling, granted.ceiling);
    add(held, known);
    if (lent.needed < use.needed) {
        granted.room_after_ms = time_to_free(held, use.needed - lent.needed);
    }
    if (lent.beginning < use.beginning) {
        const double open = held.limit * (1 - reserved_share);
        const double over = std::max(0.0, static_cast<double>(held.spent) - open);
        granted.room_to_begin_ms = time_to_free(held, over + use.beginning - lent.beginning);
    }
    const bool all_got = lent.needed >= use.needed && lent.beginning >= use.beginning;
    if (granted.ceiling == use.ceiling && all_got) {
        return std::nullopt;
    }
    return granted;
}

void permit_lender::forget(known_node& node) {
    for (const auto& [tenant, known] : node.shares) {
        const auto account_of = accounts_.find(tenant);
        if (account_of != accounts_.end()) {
            remove(account_of->second, known);
        }
    }
    node.shares.clear();
}

void permit_lender::drop_unnamed(known_node& node, const std::vector<permit_use>& uses) {
    std::set<tenant_name> named;
    for (const permit_use& use : uses) {
        named.insert(use.tenant);
    }
    std::erase_if(node.shares, [&](const auto& entry) {
        const auto account_of = accounts_.find(entry.first);
        const bool dropped = !named.contains(entry.first);
        if (dropped && account_of != accounts_.end()) {
            remove(account_of->second, entry.second);
        }
        return dropped;
    });
}

permit_answer permit_lender::answer(const permit_report& report, instant now) {
    permit_answer answer;
    answer.question = report.question;
    known_node& node = nodes_[{report.node, report.life}];
    const bool follows = node.question > 0 && report.question > node.question;
    if (!report.whole && !follows) {
        answer.outcome = permit_outcome::wants_whole;
        return answer;
    }
    if (report.question <= node.question) {
        // A report that was overtaken: what it says is older than what is known.
        answer.outcome = permit_outcome::wants_whole;
        return answer;
    }
    answer.settling = now - started_ < settling;
    node.question = report.question;
    node.heard = now;
    if (report.whole) {
        drop_unnamed(node, report.uses);
    }
    for (const permit_use& use : report.uses) {
        take(node, use);
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
        if (now - node->second.heard > rules_.window + rules_.lease) {
            forget(node->second);
            node = nodes_.erase(node);
        } else {
            ++node;
        }
    }
}

std::uint64_t permit_lender::in_use(const tenant_name& tenant) const {
    const auto found = accounts_.find(tenant);
    return found == accounts_.end() ? 0 : found->second.counted;
}

std::size_t permit_lender::entries() const {
    std::size_t count = 0;
    for (const auto& [life, node] : nodes_) {
        count += node.shares.size();
    }
    return count;
}

}  // namespace tallyfold::tenants
