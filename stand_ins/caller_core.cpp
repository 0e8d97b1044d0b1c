#include "stand_ins/caller_core.hpp"

#include <atomic>

#include "stand_ins/answer_content.hpp"
#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/program_api/gateway/commands/parse_request.hpp"
#include "tallyfold/program_api/journal/conversation_prefix.hpp"

namespace tallyfold::stand_ins {

namespace {

using journal::answer_code;
using journal::outcome;
using journal::ran_state;

constexpr duration reconnect_pause = std::chrono::milliseconds(100);

/// Tokens need to be unique only within the process.
caller_token next_token() {
    static std::atomic<caller_token> next{1};
    return next++;
}

}  // namespace

caller_core::caller_core(settings options, program_script script, std::string identity,
                         program_id parent, program_id root)
    : settings_(std::move(options)),
      script_(std::move(script)),
      identity_(std::move(identity)),
      parent_(std::move(parent)),
      root_(std::move(root)) {
    program_ = parent_.empty()
                   ? gateway::identifier_of_program(script_.tenant, settings_.run + identity_)
                   : gateway::identifier_of_child(parent_, settings_.run + identity_);
    if (root_.empty()) {
        root_ = program_;
    }
    report_.program_class = script_.program_class;
    report_.program = program_;
    report_.budget = script_.budget;
    report_.abandoned = script_.abandoned;
}

void caller_core::start(instant now) {
    report_.started = now;
    phase_ = phase::opening;
    first_sent_ = now;
    send(now);
}

protocol::scheduler_call caller_core::current_call() const {
    if (phase_ == phase::opening) {
        protocol::open_call open;
        open.program = {program_,
                        root_,
                        script_.tenant,
                        script_.program_class,
                        settings_.run + identity_,
                        parent_.empty() ? script_.budget : 0};
        return open;
    }
    if (phase_ == phase::closing) {
        return protocol::close_call{program_};
    }
    const script_step& step = script_.steps[step_];
    protocol::program_call call;
    call.program = program_;
    call.sequence = sequence_;
    call.request_identity = settings_.run + identity_ + "/" + std::to_string(sequence_);
    call.messages = step.messages;
    call.max_tokens = step.max_tokens;
    call.operation = step.operation;
    call.argument = step.argument;
    call.repeatable = step.repeatable;
    call.kind = step.kind == step_kind::model  ? journal::call_kind::model
                : step.kind == step_kind::tool ? journal::call_kind::tool
                                               : journal::call_kind::app;
    call.request_hash = stable_hash(protocol::encode(call));
    call.submission = submission_;
    call.unanswered = unanswered_;
    return call;
}

void caller_core::send(instant now) {
    if (has_not_run_claim_) {
        has_not_run_claim_ = false;
        report_.claims.push_back({program_, sequence_, not_run_claim_at_, now});
    }
    current_ = next_token();
    ++submission_;
    pieces_.clear();
    last_response_at_ = now;
    waiting_ = true;
    retry_at_ = {};
    actions_.push_back(
        {current_, current_call(), phase_ == phase::opening ? parent_ : program_id{}});
}

void caller_core::on_pieces(caller_token token, const std::vector<std::string>& pieces,
                            instant now) {
    for (auto& child : children_) {
        child->on_pieces(token, pieces, now);
    }
    if (token != current_ || !waiting_) {
        return;
    }
    if (pieces_.empty()) {
        report_.first_pieces.push_back(now - first_sent_);
    }
    last_response_at_ = now;
    pieces_.insert(pieces_.end(), pieces.begin(), pieces.end());
}

void caller_core::on_answer(caller_token token, const outcome& result, instant now) {
    for (auto& child : children_) {
        child->on_answer(token, result, now);
    }
    if (token != current_ || !waiting_) {
        return;
    }
    waiting_ = false;
    if (result.code == answer_code::ok) {
        on_ok(result, now);
    } else {
        on_error(result, now);
    }
}

void caller_core::on_ok(const outcome& result, instant now) {
    if (phase_ == phase::opening) {
        report_.members[program_] = instant{};
        next_step(now);
        return;
    }
    if (phase_ == phase::closing) {
        finish(now);
        return;
    }
    const script_step& step = script_.steps[step_];
    ++report_.calls;
    std::string expected;
    if (step.kind == step_kind::model) {
        for (const journal::message& message : step.messages) {
            history_ = journal::extend_prefix(history_, message);
        }
        expected = completion_text(program_, sequence_, history_.hash, step.max_tokens);
        history_ = journal::extend_prefix(history_, {"assistant", expected, step.max_tokens});
    } else {
        expected = service_answer(program_, sequence_, step.operation, step.argument);
    }
    std::string streamed;
    for (const std::string& piece : pieces_) {
        streamed += piece;
    }
    const bool stream_differs = !streamed.empty() && streamed != expected;
    if (result.answer != expected || stream_differs) {
        ++report_.wrong_answers;
        report_.notes.push_back(program_ + "/" + std::to_string(sequence_) + ": answer of " +
                                std::to_string(result.answer.size()) + " bytes, streamed " +
                                std::to_string(streamed.size()) + ", expected " +
                                std::to_string(expected.size()) + "; got \"" + result.answer +
                                "\", expected \"" + expected + "\"");
    }
    ++step_;
    next_step(now);
}

void caller_core::on_error(const outcome& result, instant now) {
    ++report_.refusals;
    if (result.ran == ran_state::unknown) {
        ++report_.disturbances;
        unanswered_ = true;
    }
    if (now - first_sent_ > settings_.lost_after) {
        ++report_.lost;
        report_.notes.push_back(program_ + "/" + std::to_string(sequence_) +
                                ": no final answer before the deadline, last code " +
                                std::string(to_string(result.code)));
        finish(now);
        return;
    }
    if (phase_ == phase::calling && result.ran == ran_state::no) {
        has_not_run_claim_ = true;
        not_run_claim_at_ = now;
    }
    if (result.retry_after_ms > 0) {
        retry_at(now + std::chrono::milliseconds(result.retry_after_ms));
        return;
    }
    if (phase_ == phase::calling) {
        on_call_failed(result, now);
        return;
    }
    if (phase_ != phase::closing && result.code != answer_code::program_not_found) {
        ++report_.lost;
        report_.notes.push_back(program_ + ": the program could not be opened: " + result.detail);
    }
    finish(now);
}

void caller_core::on_call_failed(const outcome& result, instant now) {
    if (result.ran == ran_state::no) {
        // The claim never expires, since the call is not retried.
        report_.claims.push_back({program_, sequence_, now, instant::max()});
        has_not_run_claim_ = false;
        // A call that did not run does not consume its sequence number.
        --sequence_;
    }
    ++report_.failed_calls;
    const bool program_over =
        result.code == answer_code::program_closed ||
        result.code == answer_code::program_not_found || result.code == answer_code::over_budget ||
        result.code == answer_code::too_many_turns || result.code == answer_code::cancelled;
    if (result.code == answer_code::sequence_out_of_order ||
        result.code == answer_code::identity_conflict ||
        result.code == answer_code::answer_expired ||
        result.code == answer_code::program_not_found) {
        ++report_.lost;
        report_.notes.push_back(program_ + "/" + std::to_string(sequence_) + ": " + result.detail);
    }
    if (program_over) {
        step_ = script_.steps.size();
    } else {
        ++step_;
    }
    next_step(now);
}

void caller_core::on_refused(caller_token token, instant now) {
    for (auto& child : children_) {
        child->on_refused(token, now);
    }
    if (token == current_ && waiting_) {
        waiting_ = false;
        retry_at(now + reconnect_pause);
    }
}

void caller_core::on_disconnected(caller_token token, instant now) {
    for (auto& child : children_) {
        child->on_disconnected(token, now);
    }
    if (token != current_ || !waiting_) {
        return;
    }
    ++report_.disturbances;
    unanswered_ = true;
    waiting_ = false;
    retry_at(now + reconnect_pause);
}

void caller_core::next_step(instant now) {
    if (step_ >= script_.steps.size()) {
        if (script_.abandoned) {
            finish(now);
            return;
        }
        phase_ = phase::closing;
        first_sent_ = now;
        send(now);
        return;
    }
    phase_ = phase::pausing;
    retry_at(now + script_.steps[step_].pause);
    tick(now);
}

void caller_core::begin_step(instant now) {
    const script_step& step = script_.steps[step_];
    if (step.kind == step_kind::spawn) {
        begin_children(step, now);
        return;
    }
    phase_ = phase::calling;
    ++sequence_;
    submission_ = 0;
    unanswered_ = false;
    first_sent_ = now;
    send(now);
}

void caller_core::begin_children(const script_step& step, instant now) {
    phase_ = phase::joining;
    for (std::size_t index = 0; index < step.children.size(); ++index) {
        const std::string identity =
            identity_ + ".s" + std::to_string(step_) + "." + std::to_string(index);
        children_.push_back(std::make_unique<caller_core>(settings_, step.children[index], identity,
                                                          program_, root_));
        children_.back()->start(now);
    }
}

void caller_core::join_children(instant now) {
    for (const auto& child : children_) {
        if (!child->done()) {
            return;
        }
    }
    for (const auto& child : children_) {
        const caller_report& found = child->report();
        report_.calls += found.calls;
        report_.failed_calls += found.failed_calls;
        report_.wrong_answers += found.wrong_answers;
        report_.lost += found.lost;
        report_.disturbances += found.disturbances;
        report_.refusals += found.refusals;
        report_.first_pieces.insert(report_.first_pieces.end(), found.first_pieces.begin(),
                                    found.first_pieces.end());
        report_.claims.insert(report_.claims.end(), found.claims.begin(), found.claims.end());
        report_.members.insert(found.members.begin(), found.members.end());
        report_.notes.insert(report_.notes.end(), found.notes.begin(), found.notes.end());
    }
    children_.clear();
    ++step_;
    next_step(now);
}

void caller_core::finish(instant now) {
    phase_ = phase::done;
    waiting_ = false;
    report_.ended = now;
    report_.completed = report_.lost == 0;
    report_.members[program_] = now;
}

void caller_core::tick(instant now) {
    for (auto& child : children_) {
        child->tick(now);
    }
    if (phase_ == phase::joining) {
        join_children(now);
        return;
    }
    if (waiting_ && now - last_response_at_ > settings_.stall_timeout) {
        on_disconnected(current_, now);
    }
    if (waiting_ || retry_at_ == instant{} || now < retry_at_) {
        return;
    }
    retry_at_ = {};
    if (phase_ == phase::pausing) {
        begin_step(now);
    } else if (phase_ != phase::done && phase_ != phase::idle) {
        if (now - first_sent_ > settings_.lost_after) {
            ++report_.lost;
            report_.notes.push_back(program_ + ": no answer before the deadline");
            finish(now);
            return;
        }
        send(now);
    }
}

std::vector<caller_action> caller_core::take_actions() {
    std::vector<caller_action> taken;
    std::swap(taken, actions_);
    for (auto& child : children_) {
        for (caller_action& action : child->take_actions()) {
            taken.push_back(std::move(action));
        }
    }
    return taken;
}

}  // namespace tallyfold::stand_ins
