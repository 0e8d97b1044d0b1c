#pragma once
/// @file
/// Rules that admit or refuse a new turn. Pure functions of the replies received so far.

#include <cstdint>

#include "tallyfold/base/common/types.hpp"

namespace tallyfold::turns {

/// Decision on a new turn by the replies of the program's own group.
enum class begin_outcome : std::uint8_t {
    /// The replies do not allow a decision yet.
    pending,
    /// The reservation is durable and the conversation history is complete.
    admitted,
    /// The turn would exceed the program's budget.
    over_budget,
    /// The group does not hold the turn that this one continues.
    unknown_previous,
};

/// Whether a quorum of the group's stores holds the turn that a new one continues.
enum class previous_turn : std::uint8_t {
    /// The new turn is the first of its history.
    none,
    held,
    not_held,
};

/// Inputs of decide_begin().
struct begin_inputs {
    /// The reservation is durable at a write quorum.
    bool reserved = false;
    previous_turn previous = previous_turn::none;
    /// True when the texts of all earlier turns of the history have been received.
    bool history_complete = false;
    /// Tokens that the program's other turns have used, with the upper bound of those still open.
    token_count used_tokens = 0;
    /// Upper bound of this turn's tokens.
    token_count max_tokens = 0;
    /// Token budget of the program; 0 means unlimited.
    token_count budget = 0;
};

/// Decides whether a turn begins:
/// - Nothing is decided before the reservation is durable at a quorum. Concurrent turns of a
///   program reserve at overlapping quorums, so at least one of them counts the other's tokens. A
///   settled turn is stored at a quorum, so at least one of the replying stores holds it.
/// - An unknown previous turn is refused before the budget is checked.
/// - An exceeded budget is refused without waiting for missing texts.
[[nodiscard]] begin_outcome decide_begin(const begin_inputs& inputs);

/// Inputs of is_known_absent().
struct absence_inputs {
    /// The program's own group may have lost turns with a majority of its disks.
    bool own_group_after_loss = false;
    bool is_only_group = false;
    /// A quorum of each other group has replied that it does not hold the turn.
    bool denied_by_other_groups = false;
};

/// True when a turn that the program's own group does not hold may be refused as unknown (404).
/// False after a loss of disks, since the turn may have existed, and while another group may hold
/// it.
[[nodiscard]] bool is_known_absent(const absence_inputs& inputs);

}  // namespace tallyfold::turns
