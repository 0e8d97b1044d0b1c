#include "tallyfold/plane/decisions/request_cut_off.hpp"

namespace tallyfold::forwarding {

cut_off_decision decide_cut_off(const pending_request_state& pending) {
    if (pending.answer_complete || pending.client_disconnected) {
        return {};
    }
    final_request_state ended;
    ended.answer_started = pending.answer_started;
    ended.may_have_run = pending.may_have_run;
    ended.failure.kind = failure_kind::shutdown;
    const request_result result = result_after(ended);
    const auto action = result.answer ? cut_off_action::answer : cut_off_action::reset;
    return {action, result};
}

std::string text_of(const cut_off_decision& decision) {
    switch (decision.action) {
        case cut_off_action::answer:
            return std::to_string(decision.result.answer->status);
        case cut_off_action::reset:
            return "reset";
        case cut_off_action::await_end:
            break;
    }
    return "awaited";
}

}  // namespace tallyfold::forwarding
