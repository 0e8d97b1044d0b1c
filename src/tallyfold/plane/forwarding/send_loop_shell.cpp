#include "tallyfold/plane/forwarding/send_loop_shell.hpp"

#include <algorithm>
#include <asio/experimental/as_tuple.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::forwarding {

namespace {

retry_policy make_retry_policy(const forwarder_context& context, const routing::route& route) {
    const bool repeatable = route.repeats == routing::repeatability::repeatable || route.resumable;
    const bool resumes =
        route.resumable && !context.is_disabled(settings::mechanism::stream_resume);
    return {repeatable, std::max(1U, route.max_attempts), resumes};
}

}  // namespace

send_loop::send_loop(forwarder_context& context, const forwarded_request& request,
                     execution_record& execution, poison_check& poison, caller_channel& caller,
                     answer_relay& answer, token_count used_tokens)
    : context_(context),
      request_(request),
      execution_(execution),
      poison_(poison),
      caller_(caller),
      answer_(answer),
      policy_(make_retry_policy(context, request.route)),
      place_(context, request, used_tokens) {
    placed_.kind = place_kind::none;
    // The engine's slot is free from here on; the turn's settlement takes a few milliseconds more.
    answer_.on_received([this] {
        place_.release(dispatch::release_outcome::answered, answer_.pace(),
                       answer_.generated_tokens());
    });
}

void send_loop::abort_attempt() {
    if (attempt_) {
        attempt_->abort();
    }
    place_.cancel();
}

selection_request send_loop::make_selection_request() const {
    const request_metadata& facts = request_.facts;
    selection_request question;
    question.service = request_.service.name;
    question.is_engine = request_.service.is_engine;
    question.repeatable = policy_.repeatable();
    question.object = request_.route.object_affinity ? facts.object : std::string{};
    question.program = facts.program;
    question.prompt = &facts.prompt;
    question.prompt_tokens = facts.prompt_tokens;
    question.call.tenant_priority = request_.tenant_priority();
    question.call.priority = request_.route.priority;
    question.call.prompt_tokens = static_cast<double>(facts.prompt_tokens);
    question.call.max_tokens = static_cast<double>(facts.max_tokens);
    if (facts.program_time_left) {
        question.call.time_left_ms = static_cast<double>(to_milliseconds(*facts.program_time_left));
    }
    question.call.call_ms = context_.backends.pace_of(request_.service.name).call_ms();
    question.ranking = context_.ranking.placement();
    question.version = request_.required_version;
    return question;
}

std::int32_t send_loop::urgency_of(const scheduling::call_features& call) const {
    return context_.is_disabled(settings::mechanism::urgency) ? request_.route.priority
                                                              : context_.ranking.urgency_of(call);
}

asio::awaitable<request_result> send_loop::run() {
    selection_request question = make_selection_request();
    statistics_.urgency = urgency_of(question.call);
    attempt_result last;
    last.failure.kind = failure_kind::no_backend;
    std::optional<chosen_backend> resumed;
    while (!caller_.disconnected()) {
        std::optional<chosen_backend> backend = resumed;
        if (!resumed) {
            const bool may_send = co_await obtain_place(question);
            if (!may_send) {
                co_return refused_place();
            }
            if (caller_.disconnected()) {
                give_back_place();
                break;
            }
            backend = select_backend(question);
        }
        resumed.reset();
        if (!backend) {
            // Waiting is pointless while the zones of all back ends are evacuated.
            const bool evacuated = context_.backends.is_evacuated(question.service);
            if (evacuated || !co_await back_off()) {
                break;
            }
            // retry_policy allows a pause only if no tried back end ran the request, so all of them
            // are eligible again.
            question.tried.clear();
            continue;
        }
        if (!poison_.may_send()) {
            give_back_place();
            co_return poison_result(last);
        }
        question.tried.insert(backend->name);
        const instant sent = http::steady_now();
        last = co_await attempt(*backend);
        if (last.end == attempt_end::answered) {
            poison_.record_answer();
            break;
        }
        co_await examine(*backend, last, sent);
        if (answer_.progress() != answer_progress::none) {
            question.version = answer_.started_version();
        }
        const next_step step = handle_failure(*backend, last);
        if (step == next_step::give_up) {
            break;
        }
        if (step == next_step::resume) {
            if (!context_.backends.may_resume_at(question.service, backend->name,
                                                 backend->version)) {
                break;
            }
            ++statistics_.resumes;
            resumed = backend;
            if (placed_.kind != place_kind::none) {
                // The place was released with the failed attempt; the next one is reported.
                placed_.kind = place_kind::alone;
            }
        }
    }
    co_return make_request_result(last);
}

asio::awaitable<attempt_result> send_loop::attempt(chosen_backend backend) {
    ++statistics_.sends;
    statistics_.backend = backend.name;
    statistics_.backend_version = backend.version;
    statistics_.cached_tokens = backend.cached_tokens;
    attempt_parameters parameters;
    parameters.backend = std::move(backend);
    parameters.urgency = statistics_.urgency;
    parameters.reserves_retry_time = policy_.may_retry_run() && !request_.route.streaming;
    if (placed_.kind != place_kind::none) {
        place_.sent(placed_, statistics_.backend);
    }
    attempt_.emplace(context_, request_, execution_, caller_, answer_, std::move(parameters));
    const attempt_result result = co_await attempt_->run();
    attempt_.reset();
    const bool failed = result.end == attempt_end::may_have_run && !caller_.disconnected();
    place_.release(failed ? dispatch::release_outcome::failed : dispatch::release_outcome::not_sent,
                   answer_.pace(), answer_.generated_tokens());
    co_return result;
}

asio::awaitable<void> send_loop::examine(chosen_backend backend, attempt_result failed,
                                         instant sent) {
    const bool may_have_ended = failed.end == attempt_end::may_have_run &&
                                is_connection_loss(failed.failure.kind) && !caller_.disconnected();
    if (!may_have_ended) {
        co_return;
    }
    failed_run run;
    run.request = request_.facts.request;
    run.content = poison_.content();
    run.backend = backend.name;
    run.address = backend.address;
    run.sent = sent;
    run.failed = http::steady_now();
    if (failed.timed_out) {
        // Silence has used up the attempt's time already.
        context_.crash_detection.examine_later(std::move(run));
    } else {
        const bool ended = co_await context_.crash_detection.examine(std::move(run));
        if (ended) {
            poison_.record_end();
        }
    }
}

request_result send_loop::poison_result(attempt_result last) {
    const bool is_refused =
        !execution_.may_have_run() && answer_.progress() == answer_progress::none;
    const local_answer refused = poison_.refuse(statistics_.sends);
    if (is_refused) {
        return {refused.outcome, refused.reason, refused};
    }
    last.failure = {failure_kind::poison_request};
    last.timed_out = false;
    return make_request_result(last);
}

next_step send_loop::handle_failure(const chosen_backend& backend, const attempt_result& failed) {
    const std::string reason = text_of(failed.failure);
    const duration time_left = request_.budget.left(http::steady_now());
    context_.metrics.count_attempt_failure(reason);
    statistics_.content = poison::to_string(poison_.content());
    std::string answer_fields;
    if (failed.defect != net::syntax_defect::none) {
        answer_fields += " defect=" + std::string(net::name_of(failed.defect));
    }
    if (failed.has_body) {
        answer_fields += " " + answer_.body()->log_fields();
    }
    logging::write_event(
        logging::event_id::attempt_failed,
        "request=" + request_.facts.request + " content=" + statistics_.content +
            " backend=" + backend.name + " backend_version=" + backend.version +
            " reason=" + reason + " end=" + std::to_string(static_cast<int>(failed.end)) +
            " time_left_ms=" + std::to_string(to_milliseconds(time_left)) + answer_fields);
    return policy_.after({failed.end, failed.connection_closed, answer_.progress(), time_left});
}

request_result send_loop::make_request_result(const attempt_result& last) const {
    final_request_state ended;
    ended.answered = last.end == attempt_end::answered;
    ended.client_disconnected = caller_.disconnected();
    ended.answer_started = answer_.progress() != answer_progress::none;
    ended.may_have_run = execution_.may_have_run();
    ended.failure = last.failure;
    ended.timed_out = last.timed_out;
    return result_after(ended);
}

asio::awaitable<bool> send_loop::obtain_place(const selection_request& question) {
    if (!place_.is_needed()) {
        placed_ = {};
        placed_.kind = place_kind::none;
    } else if (question.version) {
        // Dispatchers select by room and cache and don't know versions.
        placed_ = place_.without_dispatcher();
        record_place();
    } else {
        placed_ = co_await place_.acquire(question);
        record_place();
    }
    if (placed_.kind == place_kind::refused) {
        if (statistics_.sends == 0) {
            log_refused_place();
            co_return false;
        }
        // A refusal would state that the request has not run.
        placed_.kind = place_kind::alone;
        statistics_.place = placed_.kind;
    }
    if (has_place() && !dispatched_backend()) {
        // The engine has left since.
        give_back_place();
        statistics_.place = placed_.kind;
    }
    const bool continues_stream = question.version.has_value();
    if (!has_place() && !admitted_ && !continues_stream && !caller_.disconnected()) {
        co_await wait_for_admission(question.call);
    }
    co_return true;
}

bool send_loop::has_place() const {
    return placed_.kind == place_kind::granted || placed_.kind == place_kind::forced;
}

std::optional<chosen_backend> send_loop::dispatched_backend() const {
    return context_.backends.find_dispatched(request_.service.name, placed_.engine,
                                             placed_.cached_tokens);
}

void send_loop::give_back_place() {
    if (has_place()) {
        place_.give_back(placed_);
        placed_.kind = place_kind::alone;
    }
}

std::optional<chosen_backend> send_loop::select_backend(const selection_request& question) {
    if (has_place()) {
        statistics_.urgency = call_ranking::dispatched_level;
        return dispatched_backend();
    }
    statistics_.urgency = urgency_of(question.call);
    return context_.backends.choose(question, http::steady_now());
}

void send_loop::record_place() {
    statistics_.place = placed_.kind;
    statistics_.place_time += placed_.answer_time;
    statistics_.room_wait += placed_.waited;
}

void send_loop::log_refused_place() const {
    const request_metadata& facts = request_.facts;
    const std::string tenant = request_.tenant_name();
    logging::write_event(
        logging::event_id::place_refused,
        "request=" + facts.request + " program=" + (facts.program.empty() ? "-" : facts.program) +
            " tenant=" + (tenant.empty() ? "-" : tenant) + " route=" + request_.route.name +
            " program_running=" + (place_.program_running() ? "yes" : "no") +
            " reason=" + std::string(dispatch::text_of(placed_.reason)) +
            " expected_wait_ms=" + std::to_string(to_milliseconds(placed_.expected_wait)) +
            " retry_after_ms=" + std::to_string(to_milliseconds(placed_.retry_after)) +
            " peer=" + placed_.dispatcher + " running=" + std::to_string(placed_.running) +
            " slots=" + std::to_string(placed_.slots));
}

request_result send_loop::refused_place() const {
    local_answer answer = answer_without_place(placed_.reason, placed_.retry_after);
    return {answer.outcome, answer.reason, answer};
}

asio::awaitable<void> send_loop::wait_for_admission(const scheduling::call_features& call) {
    admission_queue& queue = context_.admission_queue_of(request_.service.name);
    admission_priority priority;
    if (!queue.admits_immediately()) {
        priority.tenant_priority = request_.tenant_priority();
        priority.route_priority = request_.route.priority;
        priority.policy_rank = context_.ranking.order_of(call);
    }
    const duration max_wait = request_.budget.admission_wait(http::steady_now());
    admitted_ = true;
    const duration waited = co_await queue.enter(priority, max_wait);
    context_.metrics.record_admission_wait(waited);
    statistics_.waited += waited;
}

void send_loop::leave_admission() {
    if (admitted_) {
        admitted_ = false;
        context_.admission_queue_of(request_.service.name).leave();
    }
}

asio::awaitable<bool> send_loop::back_off() {
    const duration time_left = request_.budget.left(http::steady_now());
    const auto pause = policy_.back_off(time_left, context_.backends.draw_jitter());
    if (execution_.may_have_run() || !pause ||
        context_.is_disabled(settings::mechanism::back_off)) {
        co_return false;
    }
    ++statistics_.back_offs;
    context_.admission_queue_of(request_.service.name).rejected();
    // Releases the slot, so that other calls can be sent during the pause.
    leave_admission();
    asio::steady_timer timer(context_.process.loop(), *pause);
    co_await timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    co_return true;
}

}  // namespace tallyfold::forwarding
