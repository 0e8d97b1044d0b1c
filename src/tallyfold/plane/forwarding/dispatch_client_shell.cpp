#include "tallyfold/plane/forwarding/dispatch_client_shell.hpp"

#include <algorithm>
#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>
#include <random>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/http/connection_shell.hpp"

namespace tallyfold::forwarding {

namespace {

/// Time after which a dispatcher that has not answered counts as silent. Ten round trips between
/// zones, and short against the time that callers wait.
constexpr duration answer_timeout = std::chrono::milliseconds(40);
/// Interval at which a waiting call repeats its request; a third of dispatcher::request_lifetime.
constexpr duration repeat_interval = std::chrono::milliseconds(200);
/// Time beyond its longest wait after which a call is sent without a place.
constexpr duration wait_margin = std::chrono::milliseconds(100);
/// Interval of renewals, and age from which a call is renewed; a quarter of a lease.
constexpr duration renewal_interval = std::chrono::milliseconds(500);

std::uint64_t random_process_id() {
    std::random_device source;
    const std::uint64_t high = source();
    return (high << 32U) ^ source();
}

duration from_ms(std::uint32_t value) {
    return std::chrono::milliseconds(value);
}

}  // namespace

dispatch_client::dispatch_client(net::node_process& process, directory::directory_client& directory,
                                 forwarder_metrics& metrics)
    : process_(process),
      directory_(directory),
      metrics_(metrics),
      process_id_(random_process_id()) {}

void dispatch_client::start() {
    directory_.on_other_messages(
        [this](const node_name& from, const messaging::peer_message& message) {
            on_message(from, message);
        });
    directory_.on_connected([this](const node_name& node) { reconnected_.insert(node); });
    process_.run_every(renewal_interval, [this] { renew_leases(); });
}

bool dispatch_client::is_enabled() const {
    const settings::node_settings& settings = process_.settings();
    return settings.dispatch_from_nodes > 0 &&
           directory_.active_nodes() >= settings.dispatch_from_nodes &&
           !settings.disabled.contains(settings::mechanism::dispatch);
}

dispatch::engine_group dispatch_client::group_of(const std::string& service, std::uint64_t program,
                                                 call_number call, std::size_t engines) {
    const std::uint64_t key = program != 0 ? program : call;
    return {service, dispatch::group_of_program(key, dispatch::group_count(engines))};
}

std::optional<node_name> dispatch_client::dispatcher_of(const dispatch::engine_group& group,
                                                        instant now) const {
    const std::vector<node_name> order =
        dispatch::dispatch_order(group, directory_.addresses(), directory_.leader());
    return choice_.choose(
        order, now, [&](const node_name& node) { return is_usable(node, group.service, now); });
}

bool dispatch_client::is_usable(const node_name& node, const std::string& service,
                                instant now) const {
    const auto known = choice_by_service_.find(service);
    const bool knows_service =
        known == choice_by_service_.end() || !known->second.is_silent(node, now);
    return knows_service && directory_.supports(node, protocol::format_version::v4);
}

bool dispatch_client::is_doubtful(const node_name& node, const std::string& service) const {
    const auto known = choice_by_service_.find(service);
    return choice_.is_doubtful(node) ||
           (known != choice_by_service_.end() && known->second.is_doubtful(node));
}

std::optional<node_name> dispatch_client::renewal_target_of(const dispatch::engine_group& group,
                                                            instant now) const {
    const std::vector<node_name> order =
        dispatch::dispatch_order(group, directory_.addresses(), directory_.leader());
    const auto reliable = choice_.choose(order, now, [&](const node_name& node) {
        return !is_doubtful(node, group.service) && is_usable(node, group.service, now);
    });
    return reliable ? reliable : dispatcher_of(group, now);
}

asio::awaitable<place_result> dispatch_client::acquire(dispatch::place_request& request,
                                                       std::size_t engines) {
    const instant began = http::steady_now();
    const call_number call = request.call;
    request.node = process_.settings().node;
    request.process_id = process_id_;
    const dispatch::engine_group group = group_of(request.service, request.program, call, engines);
    const auto dispatcher = dispatcher_of(group, began);
    place_result result;
    if (!dispatcher) {
        metrics_.count_alone("no_dispatcher");
        result.call = call;
        co_return result;
    }
    waiting_call waiting(process_.loop());
    waiting.dispatcher = *dispatcher;
    waiting.service = request.service;
    waiting_[call] = &waiting;
    result = co_await wait_for_place(waiting, request, group);
    waiting_.erase(call);
    result.call = call;
    result.dispatcher = waiting.dispatcher;
    co_return result;
}

asio::awaitable<place_result> dispatch_client::wait_for_place(
    waiting_call& waiting, const dispatch::place_request& request,
    const dispatch::engine_group& group) {
    const instant began = http::steady_now();
    const instant end = began + from_ms(request.longest_wait_ms) + wait_margin;
    instant asked = began;
    bool is_unanswered = true;
    duration answer_time{};
    directory_.send_to(waiting.dispatcher, request);
    while (true) {
        const instant limit = asked + (is_unanswered ? answer_timeout : repeat_interval);
        const instant until = std::min(limit, std::max(end, asked + answer_timeout));
        waiting.timer.expires_after(until - http::steady_now());
        co_await waiting.timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
        const instant now = http::steady_now();
        if (waiting.answer && answer_time == duration::zero()) {
            answer_time = now - began;
            metrics_.record_place_time(answer_time);
        }
        // Without a place, the times end when the call is sent without one.
        place_result without_place;
        without_place.answer_time = answer_time == duration::zero() ? now - began : answer_time;
        without_place.waited = now - began - without_place.answer_time;
        if (waiting.cancelled) {
            withdraw(waiting.dispatcher, request.call, request.service);
            co_return without_place;
        }
        if (waiting.answer && waiting.answer->outcome != dispatch::place_outcome::waiting) {
            place_result result = result_of(*waiting.answer, waiting);
            result.answer_time = answer_time;
            const bool knows_service = waiting.answer->slots > 0;
            if (waiting.answer->outcome == dispatch::place_outcome::unknown_service &&
                !knows_service) {
                pass_over(choice_by_service_[group.service], waiting.dispatcher, group, asked,
                          "unknown_service");
            }
            co_return result;
        }
        if (waiting.answer) {
            waiting.answer.reset();
            is_unanswered = false;
        }
        if (is_unanswered && now >= asked + answer_timeout) {
            pass_over(choice_, waiting.dispatcher, group, asked, "silent");
            withdraw(waiting.dispatcher, request.call, request.service);
            metrics_.count_alone("silent");
            co_return without_place;
        }
        if (now >= end) {
            withdraw(waiting.dispatcher, request.call, request.service);
            metrics_.count_alone("longest_wait");
            co_return without_place;
        }
        if (!is_unanswered && now >= asked + repeat_interval) {
            asked = now;
            is_unanswered = true;
            directory_.send_to(waiting.dispatcher, request);
        }
    }
}

place_result dispatch_client::result_of(const dispatch::place_answer& answer,
                                        const waiting_call& waiting) {
    place_result result;
    result.waited = from_ms(answer.waited_ms);
    result.reason = answer.reason;
    result.running = answer.running;
    result.slots = answer.slots;
    result.dispatcher = waiting.dispatcher;
    switch (answer.outcome) {
        case dispatch::place_outcome::granted:
            result.kind = answer.reason == dispatch::place_reason::longest_wait_reached
                              ? place_kind::forced
                              : place_kind::granted;
            result.engine = answer.engine;
            result.cached_tokens = answer.cached_tokens;
            break;
        case dispatch::place_outcome::refused:
            result.kind = place_kind::refused;
            result.expected_wait = from_ms(answer.expected_wait_ms);
            result.retry_after = from_ms(answer.retry_after_ms);
            break;
        case dispatch::place_outcome::unknown_service:
        case dispatch::place_outcome::waiting:
            metrics_.count_alone(answer.slots > 0 ? "no_engine" : "unknown_service");
            break;
    }
    return result;
}

void dispatch_client::cancel(dispatch::call_number call) {
    const auto found = waiting_.find(call);
    if (found != waiting_.end()) {
        found->second->cancelled = true;
        found->second->timer.cancel();
    }
}

void dispatch_client::on_message(const node_name& from, const messaging::peer_message& message) {
    if (const auto* answer = std::get_if<dispatch::place_answer>(&message)) {
        on_answer(from, *answer);
    }
}

void dispatch_client::on_answer(const node_name& from, const dispatch::place_answer& answer) {
    if (answer.process_id != process_id_) {
        return;
    }
    // A node that does not know the service, such as one that starts, is passed over like a silent
    // one.
    const auto found = waiting_.find(answer.call);
    if (answer.outcome != dispatch::place_outcome::unknown_service) {
        bool is_regained = choice_.answered(from);
        const auto known = found == waiting_.end()
                               ? choice_by_service_.end()
                               : choice_by_service_.find(found->second->service);
        if (known != choice_by_service_.end()) {
            is_regained = known->second.answered(from) || is_regained;
        }
        if (is_regained) {
            logging::write_event(logging::event_id::dispatcher_regained, "peer=" + from);
        }
    }
    if (found != waiting_.end() && found->second->dispatcher == from) {
        found->second->answer = answer;
        found->second->timer.cancel();
        return;
    }
    const auto running = sent_.find(answer.call);
    const bool is_known = running != sent_.end() && running->second.dispatcher == from;
    if (answer.outcome == dispatch::place_outcome::granted && !is_known) {
        // A grant that came too late: the call was decided otherwise, or has ended.
        withdraw(from, answer.call, {});
    }
}

void dispatch_client::pass_over(dispatcher_choice& choice, const node_name& node,
                                const dispatch::engine_group& group, instant asked_at,
                                const std::string& reason) {
    const instant now = http::steady_now();
    if (!choice.unanswered(node, asked_at, now)) {
        return;
    }
    const auto next = dispatcher_of(group, now);
    logging::write_event(logging::event_id::dispatcher_lost,
                         "peer=" + node + " reason=" + reason + " service=" + group.service +
                             " group=" + std::to_string(group.index) +
                             " silent_ms=" + std::to_string(to_milliseconds(now - asked_at)) +
                             " next=" + next.value_or("-"));
    renew_leases();
}

void dispatch_client::withdraw(const node_name& dispatcher, call_number call,
                               const std::string& service) {
    dispatch::released_call ended;
    ended.call = call;
    ended.service = service;
    directory_.send_to(dispatcher, dispatch::place_release{
                                       process_.settings().node, process_id_, {std::move(ended)}});
}

void dispatch_client::sent(const place_result& place, const std::string& service,
                           const backend_name& engine, std::uint64_t program, std::uint32_t tokens,
                           std::size_t engines) {
    const instant now = http::steady_now();
    sent_call running;
    running.group = group_of(service, program, place.call, engines);
    running.call = {place.call, service, engine, program, tokens};
    running.sent_at = now;
    const bool has_place = place.kind == place_kind::granted || place.kind == place_kind::forced;
    if (has_place) {
        running.dispatcher = running.granted_by = place.dispatcher;
    } else if (const auto dispatcher = renewal_target_of(running.group, now)) {
        running.dispatcher = *dispatcher;
        send_renewal(*dispatcher, {running.call});
    }
    sent_[place.call] = std::move(running);
}

void dispatch_client::release(const dispatch::released_call& ended) {
    const auto found = sent_.find(ended.call);
    if (found == sent_.end()) {
        return;
    }
    // The node that granted the place may dispatch again before the lease there expires.
    const sent_call& known = found->second;
    for (const node_name& holder : std::set{known.granted_by, known.dispatcher}) {
        if (!holder.empty()) {
            directory_.send_to(
                holder, dispatch::place_release{process_.settings().node, process_id_, {ended}});
        }
    }
    sent_.erase(found);
}

void dispatch_client::send_renewal(const node_name& to, std::vector<dispatch::running_call> calls) {
    directory_.send_to(
        to, dispatch::place_renewal{process_.settings().node, process_id_, std::move(calls)});
}

void dispatch_client::renew_leases() {
    const instant now = http::steady_now();
    std::map<dispatch::engine_group, std::optional<node_name>> dispatchers;
    std::map<node_name, std::vector<dispatch::running_call>> renewals;
    for (auto& [number, running] : sent_) {
        const auto [known, is_new] = dispatchers.try_emplace(running.group);
        if (is_new) {
            known->second = renewal_target_of(running.group, now);
        }
        if (!known->second) {
            continue;
        }
        const bool is_new_to_dispatcher =
            running.dispatcher != *known->second || reconnected_.contains(*known->second);
        running.dispatcher = *known->second;
        if (is_new_to_dispatcher || now - running.sent_at >= renewal_interval) {
            renewals[running.dispatcher].push_back(running.call);
        }
    }
    // The others have not negotiated their format yet, so nothing was sent to them.
    std::erase_if(reconnected_, [this](const node_name& node) {
        return directory_.supports(node, protocol::format_version::v4);
    });
    for (auto& [node, calls] : renewals) {
        send_renewal(node, std::move(calls));
    }
}

}  // namespace tallyfold::forwarding
