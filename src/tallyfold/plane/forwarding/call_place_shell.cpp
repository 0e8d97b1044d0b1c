#include "tallyfold/plane/forwarding/call_place_shell.hpp"

#include <algorithm>
#include <asio/use_awaitable.hpp>
#include <limits>

#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::forwarding {

namespace {

std::uint32_t narrowed(token_count value) {
    return static_cast<std::uint32_t>(
        std::min<token_count>(value, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t microseconds(duration value) {
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    return narrowed(static_cast<token_count>(std::max<std::int64_t>(0, count)));
}

}  // namespace

call_place::call_place(forwarder_context& context, const forwarded_request& request,
                       token_count used_tokens)
    : context_(context),
      request_(request),
      used_tokens_(used_tokens),
      program_(request.facts.program.empty() ? 0 : stable_hash(request.facts.program)) {}

bool call_place::is_needed() const {
    return request_.service.is_engine && context_.dispatch.is_enabled();
}

dispatch::place_request call_place::make_place_request(const selection_request& question) const {
    const instant now = http::steady_now();
    const request_metadata& facts = request_.facts;
    dispatch::place_request asked;
    asked.service = request_.service.name;
    asked.zone = context_.process.settings().zone;
    asked.tenant = request_.tenant_name();
    if (request_.tenant != nullptr && request_.tenant->is_limited()) {
        asked.tenant_weight = request_.tenant->rate_per_second;
    }
    asked.tenant_priority = request_.tenant_priority();
    asked.route = request_.route.name;
    asked.route_priority = request_.route.priority;
    asked.program = program_;
    asked.program_running = used_tokens_ > 0;
    if (facts.program_time_left) {
        const duration left = *facts.program_time_left - (now - request_.received);
        asked.time_left_ms = static_cast<std::int32_t>(std::clamp<std::int64_t>(
            to_milliseconds(left), -dispatch::no_objective_ms, dispatch::no_objective_ms));
    }
    asked.longest_wait_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, to_milliseconds(request_.budget.admission_wait(now))));
    asked.prompt_tokens = narrowed(facts.prompt_tokens);
    asked.max_tokens = narrowed(facts.max_tokens);
    asked.used_tokens = used_tokens_;
    asked.prompt = facts.prompt;
    asked.holders = context_.backends.holders_of(facts.prompt);
    if (asked.holders.size() > dispatch::max_listed_engines) {
        asked.holders.resize(dispatch::max_listed_engines);
    }
    asked.excluded.assign(question.tried.begin(), question.tried.end());
    const std::size_t listed = std::min(asked.excluded.size(), dispatch::max_listed_engines);
    asked.excluded.resize(listed);
    const std::vector<backend_name> ejected = context_.backends.select(
        request_.service.name, dispatch::max_listed_engines - listed,
        [&](const scheduling::backend_state& engine) {
            return engine.ejection.is_ejected(now) && !question.tried.contains(engine.member.name);
        });
    asked.excluded.insert(asked.excluded.end(), ejected.begin(), ejected.end());
    asked.connected =
        context_.backends.select(request_.service.name, dispatch::max_listed_engines,
                                 [&](const scheduling::backend_state& engine) {
                                     return context_.connections.has_idle(engine.member.address);
                                 });
    return asked;
}

place_result call_place::without_dispatcher() {
    context_.metrics.count_alone("required_version");
    place_result result;
    result.call = context_.dispatch.next_call();
    return result;
}

asio::awaitable<place_result> call_place::acquire(const selection_request& question) {
    dispatch::place_request asked = make_place_request(question);
    asked.call = context_.dispatch.next_call();
    waiting_ = asked.call;
    const std::size_t engines = context_.backends.count(request_.service.name);
    place_result result = co_await context_.dispatch.acquire(asked, engines);
    waiting_.reset();
    co_return result;
}

void call_place::cancel() {
    if (waiting_) {
        context_.dispatch.cancel(*waiting_);
    }
}

void call_place::sent(const place_result& place, const backend_name& engine) {
    const request_metadata& facts = request_.facts;
    sent_at_ = http::steady_now();
    held_.emplace();
    held_->call = place.call;
    held_->service = request_.service.name;
    held_->engine = engine;
    context_.dispatch.sent(place, request_.service.name, engine, program_,
                           narrowed(facts.prompt_tokens + facts.max_tokens),
                           context_.backends.count(request_.service.name));
}

void call_place::give_back(const place_result& place) {
    context_.dispatch.give_back(place, request_.service.name);
}

void call_place::release(dispatch::release_outcome outcome, const stream_pace& pace,
                         token_count generated_tokens) {
    if (!held_) {
        return;
    }
    held_->outcome = outcome;
    held_->generated_tokens = narrowed(generated_tokens);
    held_->events = narrowed(pace.events());
    if (pace.events() > 0 && pace.first_event_at() > sent_at_) {
        held_->first_event_us = microseconds(pace.first_event_at() - sent_at_);
        held_->gap_us = microseconds(pace.mean_gap());
    }
    context_.dispatch.release(*held_);
    held_.reset();
}

}  // namespace tallyfold::forwarding
