#include "tallyfold/plane/tenants/quota_client_shell.hpp"

#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>
#include <random>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/http/connection_shell.hpp"

namespace tallyfold::tenants {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(50);
/// Changes are told this often while no call waits: an eighth of a lease, and half of a new
/// keeper's settling.
constexpr duration report_interval = std::chrono::milliseconds(250);
/// A keeper that hasn't answered for this long is taken for silent. Far above the way between zones
/// and a keeper's own work, and far below what callers wait.
constexpr duration answer_limit = std::chrono::milliseconds(120);
/// A call of a program under way waits this long for a permit that is about to be free: refusing it
/// may lose the whole program, and permits come back at the tenant's rate all the time.
constexpr duration longest_permit_wait = std::chrono::milliseconds(400);
/// A call over its limit may come again after this time when the keeper names none.
constexpr duration usual_room_after = std::chrono::milliseconds(200);

std::uint64_t draw_life() {
    std::random_device source;
    const std::uint64_t high = source();
    return (high << 32U) ^ source();
}

quota_rules rules_of(const settings::node_settings& settings) {
    return {settings.quota_window, settings.quota_overshoot, settings.quota_slack,
            settings.quota_lease};
}

}  // namespace

quota_client::quota_client(net::node_process& process, directory::directory_client& directory)
    : process_(process),
      directory_(directory),
      holder_(rules_of(process.settings()), process.settings().node, draw_life()) {
    const settings::switched_off& off = process.settings().off;
    holder_.keep_spare(!off.contains(settings::mechanism::spare_permits));
    longest_wait_ =
        off.contains(settings::mechanism::permit_wait) ? duration::zero() : longest_permit_wait;
}

void quota_client::start() {
    directory_.on_other_messages(
        [this](const messaging::peer_message& message) { on_message(message); });
    process_.every(tick_interval, [this] { tick(); });
}

void quota_client::on_message(const messaging::peer_message& message) {
    if (const auto* answer = std::get_if<permit_answer>(&message)) {
        on_answer(*answer);
    }
}

void quota_client::tick() {
    const instant now = http::steady_now();
    if (asked_ && now - *asked_ > answer_limit) {
        asked_.reset();
        holder_.unanswered();
        if (!silent_) {
            silent_ = true;
            logging::write_event(logging::event_id::quota_keeper_lost,
                                 "keeper=" + directory_.leader() +
                                     " question=" + std::to_string(holder_.question()));
        }
        wake_all();
    }
    const bool due = now - last_report_ >= report_interval && holder_.should_report(now);
    if (!asked_ && (due || !waiting_.empty())) {
        ask();
    }
}

void quota_client::ask() {
    if (directory_.leader().empty()) {
        return;
    }
    const instant now = http::steady_now();
    asked_ = now;
    last_report_ = now;
    ask_again_ = false;
    directory_.send_to(directory_.leader(), holder_.report(now));
}

void quota_client::wake_all() {
    const auto woken = std::exchange(waiting_, {});
    for (const auto& timer : woken) {
        timer->cancel();
    }
}

void quota_client::on_answer(const permit_answer& answer) {
    if (!asked_ || answer.question != holder_.question()) {
        return;
    }
    asked_.reset();
    directory_.learn_leader(answer.leader, answer.term);
    if (!holder_.apply(answer, http::steady_now())) {
        // A keeper that needs to hear all is told at once. Who doesn't keep permits may have named
        // who does: that one is asked with the next tick.
        if (answer.outcome == permit_outcome::wants_whole) {
            ask();
        }
        return;
    }
    answered_ = answer.question;
    if (silent_) {
        silent_ = false;
        logging::write_event(logging::event_id::quota_keeper_regained,
                             "keeper=" + directory_.leader());
    }
    const bool again = ask_again_;
    wake_all();
    if (again) {
        ask();
    }
}

permit_decision quota_client::without_keeper(const tenant_name& tenant) {
    permit_decision decision;
    decision.room_after = usual_room_after;
    if (holder_.take_unasked(tenant, http::steady_now())) {
        decision.state = permit_state::granted;
    }
    return decision;
}

asio::awaitable<permit_decision> quota_client::acquire(tenant_name tenant, permit_need need) {
    const instant began = http::steady_now();
    permit_decision decision;
    if (holder_.take(tenant, began)) {
        decision.state = permit_state::granted;
        co_return decision;
    }
    if (silent_ || directory_.leader().empty()) {
        co_return without_keeper(tenant);
    }
    holder_.begin_wait(tenant, need);
    decision = co_await wait_for_permit(tenant, need);
    holder_.end_wait(tenant, need);
    decision.asked = true;
    decision.waited = http::steady_now() - began;
    co_return decision;
}

std::uint64_t quota_client::ask_for_waiting() {
    if (asked_) {
        // What is under way doesn't tell of this call; the next report does.
        ask_again_ = true;
        return holder_.question() + 1;
    }
    ask();
    return holder_.question();
}

asio::awaitable<permit_decision> quota_client::wait_for_permit(const tenant_name& tenant,
                                                               permit_need need) {
    const instant began = http::steady_now();
    instant asked = began;
    std::uint64_t question = ask_for_waiting();
    while (true) {
        const auto timer = std::make_shared<asio::steady_timer>(process_.loop(), answer_limit);
        waiting_.insert(timer);
        co_await timer->async_wait(asio::experimental::as_tuple(asio::use_awaitable));
        waiting_.erase(timer);
        const instant now = http::steady_now();
        permit_decision decision;
        if (holder_.take(tenant, now)) {
            decision.state = permit_state::granted;
            co_return decision;
        }
        const bool answered = answered_ >= question;
        const bool unsure = answered && holder_.keeper_settles();
        if (silent_ || unsure || now - asked > 2 * answer_limit) {
            co_return without_keeper(tenant);
        }
        if (!answered) {
            continue;
        }
        const duration room_after = holder_.room_after(tenant, need);
        const bool soon = now - began + room_after <= longest_wait_;
        if (need == permit_need::new_program || !soon) {
            decision.state = permit_state::over_limit;
            decision.room_after = std::max(room_after, usual_room_after);
            co_return decision;
        }
        // The next tick asks again.
        question = holder_.question() + 1;
        asked = now;
    }
}

void quota_client::give_back(const tenant_name& tenant) {
    holder_.give_back(tenant, http::steady_now());
}

}  // namespace tallyfold::tenants
