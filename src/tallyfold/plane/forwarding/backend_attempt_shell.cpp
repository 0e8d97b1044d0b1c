#include "tallyfold/plane/forwarding/backend_attempt_shell.hpp"

#include <asio/use_awaitable.hpp>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/forwarding/request_rendering.hpp"

namespace tallyfold::forwarding {

namespace {

/// Maximum number of answers to other requests that are skipped before the expected one.
/// Tolerates duplicate answers, but not a connection that is out of sync.
constexpr int max_unmatched_answers = 2;
/// Maximum size in bytes of a body that is read only to be discarded. A longer one may never end.
constexpr std::size_t max_discarded_body_bytes = 8U << 20U;
/// Time limit for reading the rest of a rejection. A new connection costs less than a longer wait.
constexpr duration drain_timeout = std::chrono::milliseconds(20);

}  // namespace

backend_attempt::backend_attempt(forwarder_context& context, const forwarded_request& request,
                                 execution_record& execution, caller_channel& caller,
                                 answer_relay& answer, attempt_parameters parameters)
    : context_(context),
      request_(request),
      execution_(execution),
      caller_(caller),
      answer_(answer),
      parameters_(std::move(parameters)) {}

void backend_attempt::abort() {
    if (connection_) {
        connection_->abort();
    }
}

asio::awaitable<attempt_result> backend_attempt::run() {
    call_ = context_.backends.started(request_.service.name, parameters_.backend,
                                      request_.facts.prompt_tokens, http::steady_now());
    attempt_result result;
    const backend_connection_pointer opened = co_await acquire_connection(result);
    if (opened && !caller_.disconnected()) {
        connection_ = opened;
        result = co_await exchange();
        result.defect = connection_->defect();
    }
    context_.backends.finished(call_);
    co_return result;
}

asio::awaitable<backend_connection_pointer> backend_attempt::acquire_connection(
    attempt_result& result) {
    const std::string& address = parameters_.backend.address;
    const instant now = http::steady_now();
    backend_connection_pointer opened =
        context_.connections.take(address, request_.facts.request, now);
    if (opened) {
        co_return opened;
    }
    opened = std::make_shared<backend_connection>(context_.process.loop());
    // Set before connecting, so that abort() cancels a pending connect.
    connection_ = opened;
    context_.metrics.count_connection();
    const instant limit = request_.budget.connect_deadline(now);
    const auto connected = co_await opened->connect(address, limit);
    if (!connected) {
        result.failure = {failure_kind::connect, http::name_of(connected.error())};
        context_.backends.unreachable(request_.service.name, parameters_.backend.name,
                                      http::steady_now());
        context_.crash_detection.on_connect_failed(parameters_.backend.name, connected.error());
        co_return nullptr;
    }
    co_return opened;
}

std::string backend_attempt::render_head(duration time_left) const {
    attempt_headers marks;
    marks.time_left = time_left;
    marks.incarnation = parameters_.backend.name;
    marks.urgency = parameters_.urgency;
    marks.is_engine = request_.service.is_engine;
    marks.last_event = answer_.last_event();
    marks.tenant = request_.tenant_name();
    const http::header_list headers = context_.codec.backend_headers(request_.head, marks);
    return render_backend_head(request_.head, headers, request_.body.size());
}

asio::awaitable<attempt_result> backend_attempt::exchange() {
    attempt_result result;
    const instant now = http::steady_now();
    const duration time_left = request_.budget.left(now);
    if (time_left <= duration::zero()) {
        result.failure.kind = failure_kind::no_time_left;
        result.timed_out = true;
        connection_->close();
        co_return result;
    }
    std::string head = render_head(time_left);
    const instant until = request_.budget.attempt_deadline(now, parameters_.reserves_retry_time);
    result.end = attempt_end::may_have_run;
    execution_.begin_send();
    const auto written =
        co_await connection_->send(request_.facts.request, std::move(head), request_.body, until);
    if (!written) {
        result.failure = {failure_kind::write, http::name_of(written.error())};
        result.timed_out = written.error() == http::io_failure::timed_out;
        record_failure();
        discard_connection(result);
        co_return result;
    }
    answer_metadata facts;
    if (!co_await read_matching_head(until, facts, result)) {
        if (!caller_.disconnected()) {
            record_failure();
        }
        discard_connection(result);
        co_return result;
    }
    if (facts.not_run || facts.wrong_incarnation) {
        co_return co_await handle_rejection(facts);
    }
    co_return co_await handle_answer(facts, until);
}

asio::awaitable<bool> backend_attempt::read_matching_head(instant until, answer_metadata& facts,
                                                          attempt_result& result) {
    for (int unmatched = 0; unmatched <= max_unmatched_answers; ++unmatched) {
        const auto head = co_await connection_->read_head(until);
        if (!head) {
            result.failure = {failure_kind::answer_head, http::name_of(head.error())};
            result.timed_out = head.error() == http::io_failure::timed_out;
            co_return false;
        }
        facts = context_.codec.read_answer(connection_->head());
        if (facts.request == request_.facts.request && connection_->head().status >= 200) {
            co_return true;
        }
        log_unmatched_answer(facts);
        if (!co_await drain_body(until)) {
            result.failure.kind = failure_kind::unmatched_answer_incomplete;
            co_return false;
        }
        connection_->next_message();
    }
    result.failure.kind = failure_kind::too_many_unmatched_answers;
    co_return false;
}

void backend_attempt::log_unmatched_answer(const answer_metadata& facts) const {
    const unsigned status = connection_->head().status;
    if (status < 200) {
        // An interim answer.
        return;
    }
    context_.metrics.count_unmatched_answer();
    logging::write_event(
        logging::event_id::unmatched_answer,
        "request=" + request_.facts.request + " backend=" + parameters_.backend.name +
            " answered_request=" + (facts.request.empty() ? "-" : facts.request) +
            " status=" + std::to_string(status) + " not_run=" + (facts.not_run ? "yes" : "no"));
}

asio::awaitable<bool> backend_attempt::drain_body(instant until) {
    std::size_t drained = 0;
    while (!connection_->message_complete()) {
        const auto piece = co_await connection_->read_body_chunk(until);
        if (!piece) {
            co_return false;
        }
        drained += piece->size();
        if (drained > max_discarded_body_bytes) {
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<attempt_result> backend_attempt::handle_rejection(answer_metadata facts) {
    attempt_result result;
    result.end = attempt_end::not_run;
    execution_.withdraw_send();
    if (facts.wrong_incarnation) {
        result.failure.kind = failure_kind::other_incarnation;
        context_.backends.incarnation_replaced(request_.service.name, parameters_.backend.name);
        context_.crash_detection.on_replaced(parameters_.backend.name);
        connection_->close();
        co_return result;
    }
    result.failure.kind = failure_kind::not_executed;
    // A full back end rejects many requests; reusing the connection avoids reconnecting for each.
    // The pool doesn't return it for this request again.
    const instant until = http::steady_now() + drain_timeout;
    const bool drained = co_await drain_body(until);
    if (drained) {
        keep_connection(facts);
    } else {
        connection_->abort();
    }
    co_return result;
}

asio::awaitable<attempt_result> backend_attempt::handle_answer(answer_metadata facts,
                                                               instant until) {
    attempt_result result;
    result.end = attempt_end::may_have_run;
    const unsigned status = connection_->head().status;
    const bool success = status / 100 == 2;
    if (answer_.progress() != answer_progress::none && !success) {
        // The caller already has the head of a successful answer, so an error can't be relayed.
        result.failure.kind = failure_kind::resume_refused;
        connection_->abort();
        co_return result;
    }
    if (success && !facts.is_signed) {
        result.failure.kind = failure_kind::unsigned_answer;
        record_failure();
        connection_->abort();
        co_return result;
    }
    const instant now = http::steady_now();
    context_.backends.first_byte_received(call_, now);
    answer_.record_first_byte(status, now);
    record_cached_prompt();
    result = co_await answer_.relay(connection_, parameters_.backend, until);
    if (result.end == attempt_end::answered) {
        finish_answered(facts);
        co_return result;
    }
    const bool is_own_failure = result.failure.kind == failure_kind::no_memory;
    if (!caller_.disconnected() && !result.timed_out && !is_own_failure) {
        record_failure();
    }
    connection_->abort();
    co_return result;
}

void backend_attempt::finish_answered(const answer_metadata& facts) {
    context_.crash_detection.on_answered(parameters_.backend.name, call_.started_at);
    const bool server_error = connection_->head().status / 100 == 5;
    if (server_error) {
        record_failure();
    } else {
        context_.backends.succeeded(request_.service.name, parameters_.backend.name);
        record_cached_prompt();
        answer_.record_pace(call_.started_at, http::steady_now());
    }
    keep_connection(facts);
}

void backend_attempt::keep_connection(const answer_metadata& facts) {
    if (connection_->head().keep_alive && connection_->message_complete()) {
        context_.connections.put(parameters_.backend.address, connection_, facts.idle_timeout,
                                 http::steady_now());
    } else {
        connection_->close();
    }
}

void backend_attempt::discard_connection(attempt_result& result) {
    result.connection_closed = !result.timed_out;
    if (result.connection_closed && !caller_.disconnected()) {
        const std::string& name = parameters_.backend.name;
        const std::string address =
            context_.backends.record_broken_connection(name, http::steady_now());
        if (!address.empty()) {
            context_.connections.drop(address);
            context_.directory.report_failure(name);
        }
    }
    connection_->abort();
}

void backend_attempt::record_failure() {
    context_.backends.failed(request_.service.name, parameters_.backend.name, http::steady_now());
}

void backend_attempt::record_cached_prompt() {
    const turns::cached_prompt cached = answer_.cached_prompt_of(parameters_.backend.name);
    context_.backends.record_cached(cached.engine, cached.points);
}

}  // namespace tallyfold::forwarding
