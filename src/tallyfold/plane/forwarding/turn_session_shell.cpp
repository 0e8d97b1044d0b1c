#include "tallyfold/plane/forwarding/turn_session_shell.hpp"

#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::forwarding {

namespace {

/// Retention for routes that set none. Must exceed the pauses between a program's turns
/// (tool calls), during which its ledger must be kept.
constexpr duration default_retention = std::chrono::seconds(60);

}  // namespace

turn_session::turn_session(forwarder_context& context, const request_metadata& facts,
                           const routing::route& route, const tenants::tenant_name& tenant)
    : context_(context), facts_(facts), route_(route), scope_(tenant) {}

std::uint32_t turn_session::retention_ms() const {
    const duration configured = route_.retention();
    const duration retention = configured > duration::zero() ? configured : default_retention;
    return static_cast<std::uint32_t>(to_milliseconds(retention));
}

turns::turn_settlement turn_session::settlement(token_count tokens) const {
    turns::turn_settlement ended;
    ended.program = scope_.scoped(facts_.program);
    ended.request = scope_.scoped(facts_.request);
    ended.tokens = tokens;
    ended.retention_ms = retention_ms();
    return ended;
}

asio::awaitable<turns::begin_result> turn_session::begin(instant deadline, std::string& history) {
    const instant started = http::steady_now();
    turns::begin_parameters question;
    question.reservation.program = scope_.scoped(facts_.program);
    question.reservation.request = scope_.scoped(facts_.request);
    question.reservation.max_tokens = facts_.max_tokens;
    question.reservation.retention_ms = retention_ms();
    question.previous = route_.keeps_history ? scope_.scoped(facts_.previous_turn) : std::string{};
    question.budget = facts_.budget;
    if (!context_.is_disabled(settings::mechanism::prompt_holders)) {
        question.prompt = facts_.prompt;
    }
    const instant limit = std::min(deadline, started + begin_timeout);
    const turns::begin_decision begun = co_await context_.turns.begin(std::move(question), limit);
    open_ = true;
    store_time_ = http::steady_now() - started;
    store_answers_ = begun.answers.answers;
    used_tokens_ = begun.used_tokens;
    store_group_ = begun.group;
    store_epoch_ = begun.epoch;
    context_.metrics.record_store_time(store_time_);
    for (const scheduling::cached_prefix& holder : begun.holders) {
        context_.backends.record_cached(holder.engine, {{holder.hash, holder.tokens}});
    }
    if (begun.result != turns::begin_result::admitted) {
        log_refusal(begun);
    }
    for (const turns::turn_record& record : begun.history) {
        history += record.input;
        history += record.output;
    }
    if (begun.adopted) {
        adopted_history_ = begun.history;
        adopted_turns_ = adopted_history_.size();
        context_.metrics.count_adopted_history();
    }
    co_return begun.result;
}

void turn_session::log_refusal(const turns::begin_decision& begun) const {
    logging::write_event(
        logging::event_id::turn_refused,
        "request=" + facts_.request + " program=" + facts_.program +
            " previous=" + facts_.previous_turn + " budget=" + std::to_string(facts_.budget) +
            " used=" + std::to_string(begun.used_tokens) +
            " reserved=" + std::to_string(begun.reserved_tokens) +
            " most=" + std::to_string(facts_.max_tokens) + " " + turns::describe(begun.answers) +
            " group=" + std::to_string(begun.group) + " epoch=" + std::to_string(begun.epoch) +
            " result=" + std::to_string(static_cast<int>(begun.result)));
}

asio::awaitable<bool> turn_session::settle(token_count tokens, std::string input,
                                           std::string output, turns::cached_prompt cached) {
    turns::turn_settlement ended = settlement(tokens);
    if (route_.keeps_history) {
        ended.record =
            turns::turn_record{scope_.scoped(facts_.request), scope_.scoped(facts_.previous_turn),
                               std::move(input), std::move(output)};
        ended.adopted = std::move(adopted_history_);
    }
    open_ = false;
    const instant started = http::steady_now();
    const bool settled = co_await context_.turns.settle(std::move(ended), std::move(cached),
                                                        started + settle_timeout);
    context_.metrics.record_store_time(http::steady_now() - started);
    co_return settled;
}

void turn_session::settle_unanswered(token_count tokens) {
    open_ = false;
    context_.turns.settle_in_background(settlement(tokens));
}

std::string turn_session::log_fields() const {
    return " store_ms=" + std::to_string(to_milliseconds(store_time_)) +
           " store_group=" + std::to_string(store_group_) +
           " store_epoch=" + std::to_string(store_epoch_) +
           " store_answers=" + std::to_string(store_answers_) +
           " used=" + std::to_string(used_tokens_) + " adopted=" + std::to_string(adopted_turns_);
}

}  // namespace tallyfold::forwarding
