#pragma once
/// @file
/// Identifier types that several modules share.

#include <cstdint>
#include <string>

namespace tallyfold {

/// Name of a process, unique in the cluster, for example "scheduler-1".
using node_name = std::string;
/// Name of a back end (replica of a model engine, app service or tool service).
using backend_name = std::string;
/// Identifier of a program. A sub-agent's identifier is that of its root, '.' and a number.
using program_id = std::string;
/// Partition of the programs; a scheduler owns whole shards.
using shard_id = std::uint32_t;
/// Number of a replicated log. Group 0 holds the configuration, the others program journals.
using group_id = std::uint32_t;
/// Number of a shard lease, increased by one for each new owner.
using lease_epoch = std::uint64_t;
/// Position of a call in its program, starting at 1.
using sequence_number = std::uint32_t;
/// Number of model tokens.
using token_count = std::uint64_t;

constexpr group_id configuration_group = 0;

}  // namespace tallyfold
