#include "tallyfold/plane/forwarding/request_relay_shell.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/decisions/time_budget.hpp"
#include "tallyfold/plane/forwarding/finished_request.hpp"
#include "tallyfold/plane/forwarding/request_identity.hpp"
#include "tallyfold/plane/forwarding/request_memory.hpp"

namespace tallyfold::forwarding {

namespace {

/// Interval at which a waiting request checks whether the node is ready.
constexpr duration readiness_interval = time_budget::startup_wait / 10;

}  // namespace

request_relay::request_relay(forwarder_context& context, http::connection_pointer caller,
                             caller_request request)
    : context_(context),
      request_(std::move(request)),
      facts_(context.codec.read_request(request_.head)),
      caller_(context, std::move(caller), request_.head.keep_alive),
      admission_(context, request_.head, facts_),
      cut_off_answer_written_(context.process.loop()) {}

void request_relay::abort_request() {
    // Without the mark, the aborted attempt would count as a failure of its back end, and the
    // request would be sent to the next one.
    on_client_disconnected();
    caller_.abort();
}

pending_request_state request_relay::pending_state() const {
    pending_request_state pending;
    pending.may_have_run = execution_.may_have_run();
    pending.client_disconnected = caller_.disconnected();
    pending.answer_started = caller_.answer_started();
    pending.answer_complete = caller_.local_answer_started() || (answer_ && answer_->is_received());
    return pending;
}

cut_off_request request_relay::cut_off() {
    cut_off_request pending;
    pending.request = facts_.request;
    pending.age = http::steady_now() - request_.received;
    pending.answer_started = caller_.answer_started();
    pending.decision = decide_cut_off(pending_state());
    if (send_loop_) {
        pending.sends = send_loop_->statistics().sends;
        pending.attempt_open = send_loop_->has_open_attempt();
    }
    if (pending.decision.action == cut_off_action::await_end) {
        return pending;
    }
    cut_off_ = true;
    end_ = pending.decision.result;
    on_client_disconnected();
    release_reservations();
    log_finish();
    if (pending.decision.action == cut_off_action::answer) {
        writes_cut_off_answer_ = true;
        asio::co_spawn(context_.process.loop(), write_cut_off_answer(*end_.answer), asio::detached);
    } else {
        caller_.abort();
    }
    return pending;
}

asio::awaitable<void> request_relay::write_cut_off_answer(local_answer answer) {
    const auto self = shared_from_this();
    co_await caller_.write_last_answer(answer);
    writes_cut_off_answer_ = false;
    cut_off_answer_written_.cancel();
}

asio::awaitable<void> request_relay::wait_for_cut_off_answer() {
    while (writes_cut_off_answer_) {
        cut_off_answer_written_.expires_at(asio::steady_timer::time_point::max());
        co_await cut_off_answer_written_.async_wait(
            asio::experimental::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<bool> request_relay::serve() {
    const auto self = shared_from_this();
    if (!cut_off_) {
        co_await run_stages();
    }
    if (cut_off_) {
        // The connection must not be closed while the answer is being written.
        co_await wait_for_cut_off_answer();
        co_return false;
    }
    log_finish();
    if (answer_ && answer_->is_partly_relayed()) {
        caller_.abort();
        co_return false;
    }
    co_return caller_.keeps_connection();
}

asio::awaitable<void> request_relay::run_stages() {
    co_await wait_until_ready();
    const std::optional<local_answer> refused = co_await admission_.identify();
    if (cut_off_) {
        co_return;
    }
    if (refused) {
        co_await refuse(*refused);
    } else {
        co_await serve_admitted();
    }
}

bool request_relay::is_ready() const {
    return context_.routes && context_.backends.has_backend_list() &&
           context_.turns.has_store_table();
}

asio::awaitable<void> request_relay::wait_until_ready() {
    if (context_.is_disabled(settings::mechanism::startup_wait)) {
        co_return;
    }
    const instant until = request_.received + time_budget::startup_wait;
    while (!is_ready() && http::steady_now() < until) {
        asio::steady_timer timer(context_.process.loop(), readiness_interval);
        co_await timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> request_relay::serve_admitted() {
    watch_caller();
    std::optional<local_answer> refused = co_await find_stream_origin();
    if (cut_off_) {
        co_return;
    }
    if (!refused) {
        forwarded_.emplace(make_forwarded_request());
        poison_.emplace(context_, *forwarded_);
        if (!may_send_before_cut_off()) {
            refused = answer_to(refusal::stopping);
        } else if (!poison_->may_send()) {
            refused = poison_->refuse(0);
        } else {
            refused = co_await begin_turn_and_take_permit();
        }
    }
    if (refused) {
        co_await refuse(*refused);
    } else {
        co_await send();
    }
    release_reservations();
}

bool request_relay::may_send_before_cut_off() const {
    const shutdown_sequence* shutdown = context_.shutdown;
    return shutdown == nullptr ||
           shutdown->may_send(forwarded_->received, forwarded_->budget.deadline());
}

asio::awaitable<std::optional<local_answer>> request_relay::find_stream_origin() {
    const routing::route& route = *admission_.route();
    if (!route.streaming || !route.resumable) {
        co_return std::nullopt;
    }
    const routing::tenant* tenant = admission_.tenant();
    const std::string tenant_name = tenant != nullptr ? tenant->name : std::string{};
    const poison::content_key content =
        content_key_of(request_.head, facts_, tenant_name, request_.body);
    stream_.emplace(context_, facts_, content, route, tenant_name, request_.received);
    std::optional<local_answer> refused = co_await stream_->find_origin();
    co_return refused;
}

const std::string& request_relay::choose_service() {
    if (stream_ && stream_->required_origin()) {
        return stream_->required_origin()->service;
    }
    return context_.splitter.choose(*admission_.route());
}

forwarded_request request_relay::make_forwarded_request() {
    const routing::route& route = *admission_.route();
    const auto& table = admission_.table();
    const routing::service* service = table->find_service(choose_service());
    std::optional<std::string> required_version;
    if (stream_ && stream_->required_origin()) {
        required_version = stream_->required_origin()->version;
    }
    const duration route_timeout = std::chrono::milliseconds(route.timeout_ms);
    return {request_.head,
            facts_,
            request_.received,
            table,
            route,
            *service,
            admission_.tenant(),
            time_budget(request_.received, facts_.caller_timeout, route_timeout),
            std::move(request_.body),
            0,
            std::move(required_version)};
}

void request_relay::watch_caller() {
    const std::weak_ptr<request_relay> weak = weak_from_this();
    caller_.watch([weak] {
        if (const auto relay = weak.lock()) {
            relay->on_client_disconnected();
        }
    });
}

void request_relay::on_client_disconnected() {
    caller_.mark_disconnected();
    if (send_loop_) {
        send_loop_->abort_attempt();
    }
}

bool request_relay::is_turn() const {
    const routing::route& route = forwarded_->route;
    return !facts_.program.empty() && route.streaming && (facts_.budget > 0 || route.keeps_history);
}

asio::awaitable<std::optional<local_answer>> request_relay::begin_turn_and_take_permit() {
    if (is_turn()) {
        std::optional<local_answer> refused = co_await begin_turn();
        if (refused) {
            co_return refused;
        }
    }
    // A program that has used no tokens yet is treated as new.
    const bool is_new_program = turn_ && turn_->used_tokens() == 0;
    const auto need =
        is_new_program ? tenants::permit_need::new_program : tenants::permit_need::running_program;
    std::optional<local_answer> refused = co_await admission_.take_permit(need);
    co_return refused;
}

asio::awaitable<std::optional<local_answer>> request_relay::begin_turn() {
    if (!context_.turns.has_store_table()) {
        co_return answer_to(refusal::no_store);
    }
    turn_.emplace(context_, facts_, forwarded_->route, forwarded_->tenant_name());
    std::string history;
    const turns::begin_result begun = co_await turn_->begin(forwarded_->budget.deadline(), history);
    const std::optional<refusal> refused = refusal_of(begun);
    if (refused) {
        co_return answer_to(*refused);
    }
    if (!reserve_turn(history.size())) {
        co_return answer_to(refusal::no_memory);
    }
    forwarded_->history_bytes = history.size();
    if (!history.empty()) {
        history += forwarded_->body;
        forwarded_->body = std::move(history);
    }
    co_return std::nullopt;
}

bool request_relay::reserve_turn(std::size_t history_bytes) {
    if (!forwarded_->route.keeps_history) {
        return true;
    }
    const std::size_t input_bytes = forwarded_->body.size();
    const std::uint64_t bytes = turn_memory(request_.fixed_bytes, input_bytes, history_bytes);
    const bool reserved = request_.client->reserve(bytes);
    if (!reserved) {
        context_.process.clients().count_refusal(resources::client_group::callers, "history",
                                                 bytes);
    }
    return reserved;
}

asio::awaitable<void> request_relay::send() {
    answer_.emplace(context_, *forwarded_, caller_, *request_.client, turn_ ? &*turn_ : nullptr,
                    stream_ ? &*stream_ : nullptr);
    const token_count used_tokens = turn_ ? turn_->used_tokens() : 0;
    send_loop_.emplace(context_, *forwarded_, execution_, *poison_, caller_, *answer_, used_tokens);
    end_ = co_await send_loop_->run();
    if (end_.answer) {
        co_await caller_.write_answer(*end_.answer);
    }
    send_loop_->leave_admission();
}

asio::awaitable<void> request_relay::refuse(const local_answer& answer) {
    end_ = {answer.outcome, answer.reason, answer};
    co_await caller_.write_answer(answer);
}

void request_relay::release_reservations() {
    if (!execution_.may_have_run()) {
        admission_.return_permit();
    }
    caller_.cancel_close_notification();
    if (turn_ && turn_->open()) {
        turn_->settle_unanswered(answer_ ? answer_->generated_tokens() : 0);
    }
}

void request_relay::log_finish() const {
    const instant now = http::steady_now();
    finished_request finished;
    finished.request = facts_.request;
    finished.outcome = end_.outcome;
    finished.list_age = now - context_.backends.listed_at();
    finished.total = now - request_.received;
    finished.program = facts_.program;
    finished.resumed_request = facts_.resumed_request;
    finished.last_event = facts_.last_event;
    finished.reason = end_.reason;
    if (admission_.table()) {
        finished.version = admission_.table()->version();
    }
    if (admission_.route() != nullptr) {
        finished.route = admission_.route()->name;
    }
    if (admission_.tenant() != nullptr) {
        finished.tenant = admission_.tenant()->name;
    }
    if (answer_) {
        finished.status = answer_->status();
        finished.first_byte = answer_->first_byte();
        finished.body_fields = answer_->body() ? answer_->body()->log_fields() : std::string{};
    }
    if (end_.answer) {
        finished.status = end_.answer->status;
    }
    if (send_loop_) {
        finished.sending = send_loop_->statistics();
        context_.metrics.record_sends(finished.sending.sends);
    }
    if (turn_) {
        finished.turn = finished_turn{turn_->log_fields(), facts_.program_time_left,
                                      answer_ ? answer_->events() : 0};
    }
    context_.metrics.record_request(std::string(text_of(end_.outcome)), finished.total);
    logging::write_event(logging::event_id::request_finished, render_finished_request(finished));
}

}  // namespace tallyfold::forwarding
