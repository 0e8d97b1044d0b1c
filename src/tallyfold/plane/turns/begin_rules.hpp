#pragma once
/// @file
/// The rules by which a turn that begins is admitted or refused. Pure functions of what the stores
/// have answered so far.

#include <cstdint>

#include "tallyfold/base/common/types.hpp"

namespace tallyfold::turns {

/// What the stores of the program's own group allow to say about a turn that begins.
enum class begin_outcome : std::uint8_t {
    /// Not enough is known yet.
    pending,
    /// Reserved, and the conversation history before it is at hand.
    admitted,
    /// The program's budget cannot hold the turn.
    over_budget,
    /// The group doesn't hold the turn that this one continues.
    unknown_previous,
};

/// The turn that a new one continues, as far as a quorum of the group's stores can tell.
enum class previous_turn : std::uint8_t {
    /// The new turn is the first of its history.
    none,
    held,
    not_held,
};

/// What a begin is decided from.
struct begin_inputs {
    /// The reservation is durable at a write quorum.
    bool reserved = false;
    previous_turn previous = previous_turn::none;
    /// The texts of all turns before this one are at hand.
    bool history_complete = false;
    /// Tokens that the program's other turns have used, or may use while they are under way.
    token_count used_tokens = 0;
    /// Upper bound of what this turn may use, in tokens.
    token_count max_tokens = 0;
    /// Tokens that the program may use; 0 sets no bound.
    token_count budget = 0;
};

/// Decides nothing before the reservation is durable at a quorum: two turns of a program that begin
/// at once reserve at overlapping quorums, so that at least one of them counts the other's tokens,
/// and a settled turn lies at a quorum, so that one of the answering stores holds it.
///
/// An unknown previous turn goes before the budget, and the budget before missing texts: a refusal
/// doesn't wait for texts that it has no use for.
[[nodiscard]] begin_outcome decide_begin(const begin_inputs& inputs);

/// What is known about a turn that the program's own group doesn't hold.
struct absence_inputs {
    /// The own group may have lost turns together with a majority of its disks.
    bool own_group_after_loss = false;
    bool is_only_group = false;
    /// A quorum of each other group has said that it doesn't hold the turn.
    bool denied_by_other_groups = false;
};

/// True when a turn that the own group doesn't hold may be refused as unknown (404). False after a
/// loss of disks, since it may have existed, and while another group may hold it.
[[nodiscard]] bool is_known_absent(const absence_inputs& inputs);

}  // namespace tallyfold::turns
