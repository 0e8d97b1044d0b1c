#include "tallyfold/program_api/journal/types.hpp"

namespace tallyfold::journal {

std::string_view to_string(answer_code code) {
    switch (code) {
        case answer_code::ok:
            return "ok";
        case answer_code::malformed:
            return "malformed";
        case answer_code::too_large:
            return "too_large";
        case answer_code::unauthorized:
            return "unauthorized";
        case answer_code::unknown_tenant:
            return "unknown_tenant";
        case answer_code::unknown_class:
            return "unknown_class";
        case answer_code::program_not_found:
            return "program_not_found";
        case answer_code::program_closed:
            return "program_closed";
        case answer_code::sequence_out_of_order:
            return "sequence_out_of_order";
        case answer_code::identity_conflict:
            return "identity_conflict";
        case answer_code::over_budget:
            return "over_budget";
        case answer_code::too_many_turns:
            return "too_many_turns";
        case answer_code::overloaded:
            return "overloaded";
        case answer_code::no_owner:
            return "no_owner";
        case answer_code::owner_changed:
            return "owner_changed";
        case answer_code::configuration_stale:
            return "configuration_stale";
        case answer_code::stopping:
            return "stopping";
        case answer_code::deadline_exceeded:
            return "deadline_exceeded";
        case answer_code::no_backend:
            return "no_backend";
        case answer_code::backend_failed:
            return "backend_failed";
        case answer_code::outcome_unknown:
            return "outcome_unknown";
        case answer_code::answer_expired:
            return "answer_expired";
        case answer_code::cancelled:
            return "cancelled";
    }
    return "invalid";
}

std::string_view to_string(ran_state state) {
    switch (state) {
        case ran_state::no:
            return "no";
        case ran_state::yes:
            return "yes";
        case ran_state::unknown:
            return "unknown";
    }
    return "invalid";
}

std::string_view to_string(call_kind kind) {
    switch (kind) {
        case call_kind::model:
            return "model";
        case call_kind::app:
            return "app";
        case call_kind::tool:
            return "tool";
    }
    return "invalid";
}

std::string_view to_string(journal_error error) {
    switch (error) {
        case journal_error::none:
            return "none";
        case journal_error::stale_epoch:
            return "stale_epoch";
        case journal_error::program_not_found:
            return "program_not_found";
        case journal_error::program_exists:
            return "program_exists";
        case journal_error::program_closed:
            return "program_closed";
        case journal_error::sequence_out_of_order:
            return "sequence_out_of_order";
        case journal_error::identity_conflict:
            return "identity_conflict";
        case journal_error::attempt_out_of_order:
            return "attempt_out_of_order";
        case journal_error::already_ended:
            return "already_ended";
        case journal_error::not_repeatable:
            return "not_repeatable";
        case journal_error::over_budget:
            return "over_budget";
        case journal_error::malformed:
            return "malformed";
    }
    return "invalid";
}

}  // namespace tallyfold::journal
