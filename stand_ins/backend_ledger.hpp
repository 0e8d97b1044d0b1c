#pragma once
/// @file
/// Attempts recorded by the stand-in back ends, independent of the system under test. Input of
/// the checkers.

#include <cstdint>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/program_api/scheduler/backend_messages.hpp"

namespace tallyfold::stand_ins {

/// One attempt as recorded by a back end.
struct ledger_entry {
    scheduler::attempt_key key;
    journal::call_kind kind = journal::call_kind::model;
    backend_name backend;
    bool repeatable = true;
    instant started{};
    /// Unset while the attempt is running.
    instant finished{};
    bool completed = false;
    /// Sum of prompt tokens and generated tokens.
    token_count tokens = 0;
};

}  // namespace tallyfold::stand_ins
