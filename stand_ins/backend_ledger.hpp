#pragma once
/// @file
/// What back ends saw, kept apart from the system under test: the checkers judge by it.

#include <cstdint>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/program_api/scheduler/backend_messages.hpp"

namespace tallyfold::stand_ins {

/// One attempt as a back end saw it.
struct ledger_entry {
    scheduler::attempt_key key;
    journal::call_kind kind = journal::call_kind::model;
    backend_name backend;
    bool repeatable = true;
    instant started{};
    /// Unset while the attempt runs.
    instant finished{};
    bool completed = false;
    /// Prompt and generated tokens that the attempt used.
    token_count tokens = 0;
};

}  // namespace tallyfold::stand_ins
