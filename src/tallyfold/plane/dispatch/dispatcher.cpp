#include "tallyfold/plane/dispatch/dispatcher.hpp"

#include <algorithm>

namespace tallyfold::dispatch {

namespace {

/// Interval at which leases are checked; a small part of a lease.
constexpr duration expiry_interval = std::chrono::milliseconds(100);
/// Upper bounds of what a working node sends.
constexpr std::uint32_t max_tokens_of_call = 10'000'000;
constexpr std::uint32_t max_longest_wait_ms = 600'000;
/// Weights are rate limits. Larger ones would make the sum of all weights inexact or infinite.
constexpr double max_weight = 1e9;
/// Shortest Retry-After, in milliseconds: a round trip and the end of some calls.
constexpr std::uint32_t min_retry_after_ms = 50;
/// Longest Retry-After, in milliseconds: callers wait a few seconds for an answer in all.
constexpr std::uint32_t max_retry_after_ms = 2'000;
/// Weight of an ended call in the mean duration of a call.
constexpr double duration_weight = 0.02;
/// Number of waiting calls among which one that finds its prompt at a free engine is looked for.
constexpr std::size_t max_calls_considered = 256;
/// Maximum number of waiting calls with excluded engines for which a place is looked for in vain,
/// which bounds the work of a message.
constexpr std::size_t max_excluding = 4;
/// Number of routes that are told apart; further ones share the first number.
constexpr std::size_t max_routes = 256;

std::uint32_t to_ms(duration value) {
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, to_milliseconds(value)));
}

call_end end_of(const released_call& released) {
    call_end ended;
    ended.outcome = released.outcome;
    ended.generated_tokens = released.generated_tokens;
    ended.events = released.events;
    ended.first_event = std::chrono::microseconds(released.first_event_us);
    ended.gap = std::chrono::microseconds(released.gap_us);
    return ended;
}

program_call program_call_of(const place_request& request, instant arrived) {
    program_call call{request.route, request.program, request.used_tokens, {}, arrived};
    if (request.time_left_ms < no_objective_ms) {
        call.time_left = std::chrono::milliseconds(request.time_left_ms);
    }
    return call;
}

}  // namespace

std::string text_of(message_fault fault) {
    switch (fault) {
        case message_fault::earlier_process:
            return "earlier_process";
        case message_fault::absurd_value:
            return "absurd_value";
        case message_fault::unknown_engine:
            return "unknown_engine";
        case message_fault::none:
            break;
    }
    return "none";
}

dispatcher::dispatcher(dispatcher_settings settings)
    : ledger_(settings.learns_speed), queue_(settings.queue) {
    route_names_.emplace_back();
}

void dispatcher::set_engines(const std::vector<scheduling::backend_member>& engines,
                             token_count cache_tokens) {
    std::set<engine_position> awaited;
    for (const auto& [position, count] : waiting_for_) {
        awaited.insert(position);
    }
    ledger_.set_engines(engines, cache_tokens, awaited);
}

std::optional<std::uint32_t> dispatcher::process_of(const node_name& node, std::uint64_t process_id,
                                                    instant now) {
    const auto [found, is_new] = nodes_.try_emplace(node);
    node_processes& known = found->second;
    if (!is_new && processes_[known.current].process_id == process_id) {
        return known.current;
    }
    std::erase_if(known.replaced, [&](const replaced_process& each) {
        return now - each.replaced_at > replaced_lifetime;
    });
    const bool is_earlier =
        std::any_of(known.replaced.begin(), known.replaced.end(),
                    [&](const replaced_process& each) { return each.process_id == process_id; });
    if (is_earlier) {
        fault_ = message_fault::earlier_process;
        return std::nullopt;
    }
    if (!is_new) {
        known.replaced.push_back({processes_[known.current].process_id, now});
        drop_process(known.current);
    }
    known.current = static_cast<std::uint32_t>(processes_.size());
    processes_.push_back({node, process_id});
    return known.current;
}

bool dispatcher::knows_call(const node_name& node, std::uint64_t process_id,
                            call_number call) const {
    const auto known = nodes_.find(node);
    if (known == nodes_.end() || processes_[known->second.current].process_id != process_id) {
        return false;
    }
    const call_key key{known->second.current, call};
    return pending_.contains(key) || !ledger_.engine_of(key).empty();
}

void dispatcher::drop_process(std::uint32_t process) {
    ledger_.finish_process(process);
    std::vector<call_key> waiting;
    for (const auto& [key, pending] : pending_) {
        if (key.process == process) {
            waiting.push_back(key);
        }
    }
    for (const call_key& key : waiting) {
        take_waiting(key);
    }
}

bool dispatcher::is_valid(const place_request& request) {
    return !request.node.empty() && request.prompt_tokens <= max_tokens_of_call &&
           request.max_tokens <= max_tokens_of_call &&
           request.longest_wait_ms <= max_longest_wait_ms &&
           request.holders.size() <= max_listed_engines &&
           request.excluded.size() <= max_listed_engines &&
           request.connected.size() <= max_listed_engines;
}

bool dispatcher::is_valid_weight(double weight) {
    return weight >= 0 && weight <= max_weight;
}

std::uint16_t dispatcher::route_index(const std::string& route) {
    const auto found = std::find(route_names_.begin(), route_names_.end(), route);
    if (found != route_names_.end()) {
        return static_cast<std::uint16_t>(found - route_names_.begin());
    }
    if (route_names_.size() >= max_routes) {
        return 0;
    }
    route_names_.push_back(route);
    return static_cast<std::uint16_t>(route_names_.size() - 1);
}

waiting_call dispatcher::make_waiting_call(const call_key& key, const place_request& request,
                                           instant arrived) const {
    waiting_call call;
    call.key = key;
    call.tenant = request.tenant;
    call.tenant_weight = is_valid_weight(request.tenant_weight) ? request.tenant_weight : 1;
    call.priority = {request.tenant_priority, request.route_priority};
    call.program_running = request.program_running;
    call.runaway = needs_.is_runaway(request.route, request.used_tokens);
    call.cost = static_cast<double>(request.prompt_tokens) + request.max_tokens;
    const program_call asked = program_call_of(request, arrived);
    call.calls_left = needs_.expected_calls(asked);
    call.latest_start =
        arrived + std::chrono::milliseconds(request.time_left_ms) - needs_.expected_time(asked);
    call.wait_limit = arrived + std::chrono::milliseconds(request.longest_wait_ms);
    call.arrived = arrived;
    return call;
}

placement_question dispatcher::question_of(const place_request& request) {
    placement_question question;
    question.zone = request.zone;
    question.prompt_tokens = request.prompt_tokens;
    question.max_tokens = request.max_tokens;
    question.prompt = &request.prompt;
    question.holders = &request.holders;
    question.excluded = &request.excluded;
    question.connected = &request.connected;
    return question;
}

addressed_answer dispatcher::make_answer(const call_key& key, place_outcome outcome) const {
    const forwarder_process& process = processes_[key.process];
    addressed_answer addressed;
    addressed.node = process.node;
    addressed.answer.process_id = process.process_id;
    addressed.answer.call = key.call;
    addressed.answer.outcome = outcome;
    addressed.answer.running = ledger_.room().running;
    addressed.answer.slots = ledger_.room().slots;
    return addressed;
}

addressed_answer dispatcher::refuse(const waiting_call& call, const queue_refusal& refusal) {
    ++counters_.refused;
    addressed_answer addressed = make_answer(call.key, place_outcome::refused);
    addressed.answer.reason = refusal.reason;
    addressed.answer.expected_wait_ms = to_ms(refusal.expected_wait);
    // Each call of a new program would wait about as long, so the program loses less when it begins
    // after as much time as its waits would take together.
    const double calls = refusal.reason == place_reason::new_program ? call.calls_left : 1;
    const auto retry_after = static_cast<std::uint32_t>(calls * addressed.answer.expected_wait_ms);
    addressed.answer.retry_after_ms =
        std::clamp(retry_after, min_retry_after_ms, max_retry_after_ms);
    return addressed;
}

addressed_answer dispatcher::grant(const waiting_call& call, const place_request& request,
                                   const placed_call& placed, place_reason reason, instant now) {
    call_size size;
    size.tokens = request.prompt_tokens + request.max_tokens;
    size.max_tokens = request.max_tokens;
    size.uncached_tokens = request.prompt_tokens - static_cast<std::uint32_t>(placed.cached_tokens);
    size.route = route_index(request.route);
    ledger_.start(call.key, placed.engine, size, now);
    ledger_.record_cached(placed.engine, request.prompt);
    queue_.record_granted(call, now);
    needs_.record_call(program_call_of(request, call.arrived), now);
    ++counters_.granted;
    counters_.waited += now > call.arrived ? 1 : 0;
    counters_.forced += reason == place_reason::longest_wait_reached ? 1 : 0;
    addressed_answer addressed = make_answer(call.key, place_outcome::granted);
    addressed.answer.reason = reason;
    addressed.answer.engine = placed.engine;
    addressed.answer.cached_tokens = static_cast<std::uint32_t>(placed.cached_tokens);
    addressed.answer.waited_ms = to_ms(now - call.arrived);
    return addressed;
}

dispatcher::pending_request dispatcher::make_pending(const place_request& request,
                                                     instant now) const {
    pending_request pending;
    pending.request = request;
    pending.repeated = now;
    // A program that begins shares only the first part of its prompt with others. If it preferred
    // an engine for that, all programs would begin at the few engines that hold the part.
    if (!request.program_running) {
        return pending;
    }
    if (const auto preferred = ledger_.preferred(question_of(request), now)) {
        pending.preferred = preferred->engine;
    }
    return pending;
}

std::optional<placed_call> dispatcher::place_at_once(const pending_request& pending,
                                                     instant now) const {
    const placement_question question = question_of(pending.request);
    if (pending.preferred.empty()) {
        return ledger_.choose(question, now);
    }
    if (auto preferred = ledger_.choose_at(pending.preferred, question, now)) {
        return preferred;
    }
    return ledger_.has_spare_slots() ? ledger_.choose(question, now) : std::nullopt;
}

std::optional<placed_call> dispatcher::place_waiting(const waiting_call& call, passed_calls& passed,
                                                     instant now) const {
    if (call.cost >= passed.too_large || passed.excluding.contains(call.key)) {
        return std::nullopt;
    }
    const pending_request& pending = pending_.at(call.key);
    const bool excludes = !pending.request.excluded.empty();
    if (excludes && passed.excluding.size() >= max_excluding) {
        return std::nullopt;
    }
    const placement_question question = question_of(pending.request);
    auto placed = ledger_.choose_at(pending.preferred, question, now);
    if (!placed) {
        placed = ledger_.choose(question, now);
    }
    if (!placed && excludes) {
        passed.excluding.insert(call.key);
    } else if (!placed) {
        passed.too_large = call.cost;
    }
    return placed;
}

const waiting_call* dispatcher::next_to_place(passed_calls& passed,
                                              std::optional<placed_call>& placed, instant now) {
    const bool may_move = ledger_.has_spare_slots();
    const std::vector<bool> ready = ledger_.ready_engines(now);
    const auto may_go = [&](engine_position preferred) {
        return may_move || preferred == no_engine || ready[preferred];
    };
    const bool any_may_go = std::any_of(waiting_for_.begin(), waiting_for_.end(),
                                        [&](const auto& waiting) { return may_go(waiting.first); });
    if (!any_may_go) {
        return nullptr;
    }
    return queue_.visit(now, max_calls_considered, [&](const waiting_call& call) {
        if (may_go(call.preferred)) {
            placed = place_waiting(call, passed, now);
        }
        return placed.has_value();
    });
}

std::optional<dispatcher::pending_request> dispatcher::take_waiting(const call_key& key) {
    const auto found = pending_.find(key);
    if (found == pending_.end()) {
        return std::nullopt;
    }
    pending_request pending = std::move(found->second);
    pending_.erase(found);
    const auto count = waiting_for_.find(queue_.find(key)->preferred);
    if (--count->second == 0) {
        waiting_for_.erase(count);
    }
    queue_.remove(key);
    return pending;
}

void dispatcher::grant_waiting(std::vector<addressed_answer>& answers, instant now) {
    passed_calls passed;
    while (queue_.size() > 0 && ledger_.free_slots() > 0) {
        std::optional<placed_call> placed;
        const waiting_call* next = next_to_place(passed, placed, now);
        if (next == nullptr) {
            return;
        }
        const waiting_call call = *next;
        answers.push_back(
            grant(call, pending_.at(call.key).request, *placed, place_reason::none, now));
        take_waiting(call.key);
    }
}

void dispatcher::grant_overdue(std::vector<addressed_answer>& answers, instant now) {
    for (const call_key& key : queue_.overdue(now)) {
        const waiting_call call = *queue_.find(key);
        const place_request& request = pending_.at(key).request;
        const auto placed = ledger_.choose_beyond_slots(question_of(request), now);
        if (placed) {
            answers.push_back(
                grant(call, request, *placed, place_reason::longest_wait_reached, now));
        } else {
            // No engine is available; the forwarder has its own rules for that.
            answers.push_back(make_answer(key, place_outcome::unknown_service));
        }
        take_waiting(key);
    }
}

addressed_answer dispatcher::answer_known_call(const call_key& key, place_request&& request,
                                               instant now) {
    const auto pending = pending_.find(key);
    if (pending != pending_.end()) {
        pending->second.repeated = now;
        pending->second.request.excluded = std::move(request.excluded);
        addressed_answer addressed = make_answer(key, place_outcome::waiting);
        const waiting_call* call = queue_.find(key);
        // The present one would cost a walk over the calls ahead for each repeated request.
        addressed.answer.expected_wait_ms = to_ms(queue_.expected_at_arrival(key));
        addressed.answer.waited_ms = to_ms(now - call->arrived);
        return addressed;
    }
    addressed_answer addressed = make_answer(key, place_outcome::granted);
    addressed.answer.engine = ledger_.engine_of(key);
    return addressed;
}

void dispatcher::enqueue(const waiting_call& call, pending_request&& pending,
                         std::vector<addressed_answer>& answers, instant now) {
    const double slots = ledger_.room().slots;
    queue_.set_capacity(call_ms_ > 0 ? slots * 1'000 / call_ms_ : 0);
    if (const auto refusal = queue_.push(call, now)) {
        answers.push_back(refuse(call, *refusal));
        return;
    }
    pending_.emplace(call.key, std::move(pending));
    ++waiting_for_[call.preferred];
    grant_waiting(answers, now);
    if (pending_.contains(call.key)) {
        addressed_answer addressed = make_answer(call.key, place_outcome::waiting);
        addressed.answer.expected_wait_ms = to_ms(queue_.expected_at_arrival(call.key));
        answers.push_back(addressed);
    }
}

void dispatcher::decide(const call_key& key, const place_request& request,
                        std::vector<addressed_answer>& answers, instant now) {
    if (!ledger_.has_engines()) {
        answers.push_back(make_answer(key, place_outcome::unknown_service));
        return;
    }
    if (!is_valid_weight(request.tenant_weight)) {
        fault_ = message_fault::absurd_value;
    }
    if (queue_.size() > 0 && ledger_.free_slots() > 0) {
        // Slots that became free without a release, by a replaced process or a new engine.
        grant_waiting(answers, now);
    }
    waiting_call call = make_waiting_call(key, request, now);
    pending_request pending = make_pending(request, now);
    if (const auto placed = place_at_once(pending, now)) {
        answers.push_back(grant(call, request, *placed, place_reason::none, now));
        return;
    }
    if (!ledger_.has_eligible_engine(question_of(request), now)) {
        // No end of a call would give it a slot; the forwarder has its own rules for that.
        answers.push_back(make_answer(key, place_outcome::unknown_service));
        return;
    }
    call.preferred = ledger_.position_of(pending.preferred);
    enqueue(call, std::move(pending), answers, now);
}

std::vector<addressed_answer> dispatcher::request(const place_request& request, instant now) {
    fault_ = message_fault::none;
    last_message_ = now;
    std::vector<addressed_answer> answers;
    if (!is_valid(request)) {
        fault_ = message_fault::absurd_value;
        return answers;
    }
    const auto process = process_of(request.node, request.process_id, now);
    if (!process) {
        return answers;
    }
    const call_key key{*process, request.call};
    if (pending_.contains(key) || !ledger_.engine_of(key).empty()) {
        answers.push_back(answer_known_call(key, place_request(request), now));
        return answers;
    }
    decide(key, request, answers, now);
    return answers;
}

void dispatcher::finish(const call_key& key, const released_call& released, instant now) {
    if (take_waiting(key)) {
        return;
    }
    const auto finished = ledger_.finish(key, end_of(released), now);
    if (!finished) {
        return;
    }
    queue_.record_freed(now);
    if (released.outcome != release_outcome::answered) {
        return;
    }
    const double took_ms = static_cast<double>(to_milliseconds(finished->took));
    call_ms_ = call_ms_ > 0 ? call_ms_ + duration_weight * (took_ms - call_ms_) : took_ms;
    needs_.record_answer(route_names_[finished->size.route], released.generated_tokens,
                         finished->took);
}

std::vector<addressed_answer> dispatcher::release(const place_release& release, instant now) {
    fault_ = message_fault::none;
    last_message_ = now;
    std::vector<addressed_answer> answers;
    const auto process = process_of(release.node, release.process_id, now);
    if (!process) {
        return answers;
    }
    for (const released_call& released : release.calls) {
        finish({*process, released.call}, released, now);
    }
    grant_waiting(answers, now);
    return answers;
}

void dispatcher::renew(const place_renewal& renewal, instant now) {
    fault_ = message_fault::none;
    last_message_ = now;
    const auto process = process_of(renewal.node, renewal.process_id, now);
    if (!process) {
        return;
    }
    for (const running_call& running : renewal.calls) {
        const call_key key{*process, running.call};
        if (ledger_.renew(key, now)) {
            continue;
        }
        if (!ledger_.has_engine(running.engine)) {
            fault_ = message_fault::unknown_engine;
        } else if (running.tokens > 2 * max_tokens_of_call) {
            fault_ = message_fault::absurd_value;
        } else {
            // A call that waits here was sent by its forwarder after all.
            take_waiting(key);
            call_size size;
            size.tokens = running.tokens;
            ledger_.start(key, running.engine, size, now);
        }
    }
}

void dispatcher::drop_unrepeated(instant now) {
    std::vector<call_key> dropped;
    for (const auto& [key, pending] : pending_) {
        if (now - pending.repeated > request_lifetime) {
            dropped.push_back(key);
        }
    }
    for (const call_key& key : dropped) {
        take_waiting(key);
    }
}

std::vector<addressed_answer> dispatcher::tick(instant now) {
    std::vector<addressed_answer> answers;
    if (now - last_expiry_ >= expiry_interval) {
        last_expiry_ = now;
        const std::size_t expired = ledger_.expire(now);
        counters_.expired += expired;
        for (std::size_t count = 0; count < expired; ++count) {
            queue_.record_freed(now);
        }
        drop_unrepeated(now);
    }
    grant_waiting(answers, now);
    grant_overdue(answers, now);
    return answers;
}

bool dispatcher::idle(instant now) const {
    return ledger_.calls() == 0 && queue_.size() == 0 && now - last_message_ > idle_time;
}

}  // namespace tallyfold::dispatch
