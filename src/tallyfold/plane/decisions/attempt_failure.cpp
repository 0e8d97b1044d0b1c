#include "tallyfold/plane/decisions/attempt_failure.hpp"

namespace tallyfold::forwarding {

namespace {

/// Text of the kind; for connection failures the prefix that the name of the error follows.
std::string_view text_of(failure_kind kind) {
    switch (kind) {
        case failure_kind::no_backend:
            return "no back end is available";
        case failure_kind::connect:
            return "connect_";
        case failure_kind::write:
            return "write_";
        case failure_kind::answer_head:
            return "answer_";
        case failure_kind::body:
            return "body_";
        case failure_kind::no_time_left:
            return "no_time_left";
        case failure_kind::resume_refused:
            return "continuation_refused";
        case failure_kind::unsigned_answer:
            return "unsigned_answer";
        case failure_kind::unmatched_answer_incomplete:
            return "surplus_answer";
        case failure_kind::too_many_unmatched_answers:
            return "surplus_answers";
        case failure_kind::body_truncated:
            return "body_truncated";
        case failure_kind::event_missing:
            return "event_missing";
        case failure_kind::no_memory:
            return "no_memory";
        case failure_kind::turn_end_unconfirmed:
            return "unsettled";
        case failure_kind::client_disconnected:
            return "caller_left";
        case failure_kind::other_incarnation:
            return "other_incarnation";
        case failure_kind::not_executed:
            return "not_executed";
        case failure_kind::shutdown:
            return "shutdown";
        case failure_kind::poison_request:
            return "poison_request";
        case failure_kind::none:
            break;
    }
    return {};
}

}  // namespace

bool is_connection_loss(failure_kind kind) {
    switch (kind) {
        case failure_kind::write:
        case failure_kind::answer_head:
        case failure_kind::body:
        case failure_kind::body_truncated:
        case failure_kind::unmatched_answer_incomplete:
            return true;
        default:
            return false;
    }
}

std::string text_of(const attempt_failure& failure) {
    return std::string(text_of(failure.kind)) + std::string(failure.connection);
}

}  // namespace tallyfold::forwarding
