#pragma once
/// @file
/// Refusals of a scheduler as values. Each says that nothing ran; who knows less sets `ran`.

#include <string>
#include <utility>

#include "tallyfold/program_api/journal/types.hpp"

namespace tallyfold::scheduler {

/// @param retry_after_ms when the caller may send the request again; 0 for no hint
inline journal::outcome refusal(journal::answer_code code, std::string detail,
                                std::uint32_t retry_after_ms = 0) {
    journal::outcome result;
    result.code = code;
    result.ran = journal::ran_state::no;
    result.detail = std::move(detail);
    result.retry_after_ms = retry_after_ms;
    return result;
}

/// The scheduler has lost touch with control: new work waits until its configuration is confirmed.
inline journal::outcome stale_configuration() {
    // A third of the configuration's lease (3 s). Chosen, not measured.
    constexpr std::uint32_t retry_after_ms = 1000;
    return refusal(journal::answer_code::configuration_stale,
                   "the scheduler cannot confirm that its configuration is current",
                   retry_after_ms);
}

}  // namespace tallyfold::scheduler
