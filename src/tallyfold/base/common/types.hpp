#pragma once
/// @file
/// Names of the things that cross module borders.

#include <cstdint>
#include <string>

namespace tallyfold {

/// Name of one process of the fleet, unique in the cluster, for example "scheduler-1".
using node_name = std::string;
/// Name of one back end (model engine, app service or tool service replica).
using backend_name = std::string;
/// Identifier of a program; a sub-agent's is its root's followed by '.' and a number.
using program_id = std::string;
/// One of many slices of the program space; the unit of ownership.
using shard_id = std::uint32_t;
/// One replicated log. Group 0 holds the configuration; the others hold program journals.
using group_id = std::uint32_t;
/// Number of a shard lease; grows by one with each new owner.
using lease_epoch = std::uint64_t;
/// Position of a call in its program, from 1.
using sequence_number = std::uint32_t;
/// Count of model tokens.
using token_count = std::uint64_t;

constexpr group_id configuration_group = 0;

}  // namespace tallyfold
