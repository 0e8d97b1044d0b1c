#include "tallyfold/plane/tenants/quota_client_shell.hpp"

#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>
#include <random>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/http/connection_shell.hpp"

namespace tallyfold::tenants {

namespace {

/// Interval of the checks for unanswered reports and waiting calls; below half of the answer
/// timeout.
constexpr duration tick_interval = std::chrono::milliseconds(50);
/// Interval of reports while no call waits: an eighth of a lease, and half of a new lender's
/// settling period.
constexpr duration report_interval = std::chrono::milliseconds(250);
/// Time after which a lender that hasn't answered counts as unavailable. Far above a round trip
/// between zones, and far below the time that callers wait.
constexpr duration answer_timeout = std::chrono::milliseconds(120);
/// Longest time that a call of a running program waits for a permit that is about to be free. A
/// refusal may fail the whole program, and permits are freed continuously at the tenant's rate.
constexpr duration max_permit_wait = std::chrono::milliseconds(400);
/// Retry delay of a refused call when the lender gives none, and the shortest otherwise. The
/// election of a lender takes 0.5 to 1 s, a slow answer only some milliseconds.
constexpr duration default_retry_after = std::chrono::milliseconds(200);

std::uint64_t random_process_id() {
    std::random_device source;
    const std::uint64_t high = source();
    return (high << 32U) ^ source();
}

permit_decision permit_granted(instant taken) {
    permit_decision decision;
    decision.state = permit_state::granted;
    decision.taken = taken;
    return decision;
}

quota_rules rules_of(const settings::node_settings& settings) {
    return {settings.quota_window, settings.quota_overshoot, settings.quota_slack,
            settings.quota_lease};
}

}  // namespace

quota_client::quota_client(net::node_process& process, directory::directory_client& directory)
    : process_(process),
      directory_(directory),
      holder_(rules_of(process.settings()), process.settings().node, random_process_id()) {
    const settings::disabled_mechanisms& off = process.settings().disabled;
    holder_.set_spare_permits(!off.contains(settings::mechanism::spare_permits));
    max_permit_wait_ =
        off.contains(settings::mechanism::permit_wait) ? duration::zero() : max_permit_wait;
}

void quota_client::start() {
    directory_.on_other_messages(
        [this](const node_name&, const messaging::peer_message& message) { on_message(message); });
    process_.run_every(tick_interval, [this] { tick(); });
}

void quota_client::on_message(const messaging::peer_message& message) {
    if (const auto* answer = std::get_if<permit_answer>(&message)) {
        on_answer(*answer);
    }
}

void quota_client::tick() {
    const instant now = http::steady_now();
    if (report_sent_ && now - *report_sent_ > answer_timeout) {
        report_sent_.reset();
        holder_.unanswered();
        if (!lender_unresponsive_) {
            lender_unresponsive_ = true;
            logging::write_event(logging::event_id::quota_keeper_lost,
                                 "keeper=" + directory_.leader() +
                                     " question=" + std::to_string(holder_.sequence()));
        }
        wake_waiting_calls();
    }
    const bool due = now - last_report_ >= report_interval && holder_.should_report(now);
    if (!report_sent_ && (due || !answer_timers_.empty())) {
        send_report();
    }
}

void quota_client::send_report() {
    if (directory_.leader().empty()) {
        return;
    }
    const instant now = http::steady_now();
    report_sent_ = now;
    last_report_ = now;
    has_unreported_call_ = false;
    directory_.send_to(directory_.leader(), holder_.report(now));
}

void quota_client::wake_waiting_calls() {
    const auto timers = std::exchange(answer_timers_, {});
    for (const auto& timer : timers) {
        timer->cancel();
    }
}

void quota_client::on_answer(const permit_answer& answer) {
    if (!report_sent_ || answer.sequence != holder_.sequence()) {
        return;
    }
    report_sent_.reset();
    directory_.update_leader(answer.leader, answer.term);
    if (!holder_.apply(answer, http::steady_now())) {
        // A lender that requires a full report gets it at once. A node that is not the lender may
        // have named the lender, which gets the report of the next tick.
        if (answer.outcome == permit_outcome::full_report_required) {
            send_report();
        }
        return;
    }
    last_answered_ = answer.sequence;
    if (lender_unresponsive_) {
        lender_unresponsive_ = false;
        logging::write_event(logging::event_id::quota_keeper_regained,
                             "keeper=" + directory_.leader());
    }
    const bool report_needed = has_unreported_call_;
    wake_waiting_calls();
    if (report_needed) {
        send_report();
    }
}

permit_decision quota_client::acquire_without_lender(const tenant_name& tenant) {
    const instant now = http::steady_now();
    if (holder_.try_acquire_without_lender(tenant, now)) {
        return permit_granted(now);
    }
    permit_decision decision;
    decision.retry_after = default_retry_after;
    return decision;
}

asio::awaitable<permit_decision> quota_client::acquire(tenant_name tenant, permit_need need) {
    const instant began = http::steady_now();
    if (holder_.try_acquire(tenant, began)) {
        co_return permit_granted(began);
    }
    if (lender_unresponsive_ || directory_.leader().empty()) {
        co_return acquire_without_lender(tenant);
    }
    holder_.begin_wait(tenant, need);
    permit_decision decision = co_await wait_for_permit(tenant, need);
    holder_.end_wait(tenant, need);
    decision.asked = true;
    decision.waited = http::steady_now() - began;
    co_return decision;
}

std::uint64_t quota_client::report_waiting_call() {
    if (report_sent_) {
        // The report in flight doesn't include this call; the next one does.
        has_unreported_call_ = true;
        return holder_.sequence() + 1;
    }
    send_report();
    return holder_.sequence();
}

asio::awaitable<void> quota_client::wait_for_answer() {
    const auto timer = std::make_shared<asio::steady_timer>(process_.loop(), answer_timeout);
    answer_timers_.insert(timer);
    co_await timer->async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    answer_timers_.erase(timer);
}

std::optional<permit_decision> quota_client::refusal_for(const tenant_name& tenant,
                                                         permit_need need, instant began,
                                                         instant now) const {
    const duration retry_after = holder_.retry_after(tenant, need);
    const bool free_in_time = now - began + retry_after <= max_permit_wait_;
    if (need == permit_need::running_program && free_in_time) {
        return std::nullopt;
    }
    permit_decision refusal;
    refusal.state = permit_state::over_limit;
    refusal.retry_after = std::max(retry_after, default_retry_after);
    return refusal;
}

asio::awaitable<permit_decision> quota_client::wait_for_permit(const tenant_name& tenant,
                                                               permit_need need) {
    const instant began = http::steady_now();
    instant reported = began;
    std::uint64_t sequence = report_waiting_call();
    while (true) {
        co_await wait_for_answer();
        const instant now = http::steady_now();
        if (holder_.try_acquire(tenant, now)) {
            co_return permit_granted(now);
        }
        const bool answered = last_answered_ >= sequence;
        const bool refused_while_settling = answered && holder_.lender_settling();
        if (lender_unresponsive_ || refused_while_settling || now - reported > 2 * answer_timeout) {
            co_return acquire_without_lender(tenant);
        }
        if (!answered) {
            continue;
        }
        if (const auto refusal = refusal_for(tenant, need, began, now)) {
            co_return *refusal;
        }
        // The next tick sends another report.
        sequence = holder_.sequence() + 1;
        reported = now;
    }
}

bool quota_client::return_permit(const tenant_name& tenant, instant taken) {
    return holder_.release(tenant, taken, http::steady_now());
}

}  // namespace tallyfold::tenants
