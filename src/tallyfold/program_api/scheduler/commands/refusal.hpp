#pragma once
/// @file
/// Outcomes for refused requests. `ran` is no by default; callers set it if that is not certain.

#include <string>
#include <utility>

#include "tallyfold/program_api/journal/types.hpp"

namespace tallyfold::scheduler {

/// @param retry_after_ms suggested delay before a retry; 0 for no hint
inline journal::outcome refusal(journal::answer_code code, std::string detail,
                                std::uint32_t retry_after_ms = 0) {
    journal::outcome result;
    result.code = code;
    result.ran = journal::ran_state::no;
    result.detail = std::move(detail);
    result.retry_after_ms = retry_after_ms;
    return result;
}

/// Refusal of new work while the scheduler cannot confirm its configuration with control.
inline journal::outcome stale_configuration() {
    // A third of the configuration lease.
    constexpr std::uint32_t retry_after_ms = 1000;
    return refusal(journal::answer_code::configuration_stale,
                   "the scheduler cannot confirm that its configuration is current",
                   retry_after_ms);
}

}  // namespace tallyfold::scheduler
