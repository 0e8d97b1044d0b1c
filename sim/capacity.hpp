#pragma once
/// @file
/// Slopes of state, messages, processor time and memory, measured on hollow nodes, replicas and
/// programs that share this process: the real logic and codec, without sockets and disks.

#include <cstdint>
#include <string>
#include <vector>

namespace tallyfold::sim {

/// Control's work for a number of nodes, and each node's for control.
struct control_point {
    std::size_t nodes = 0;
    double node_bytes_per_second = 0;
    double node_core_percent = 0;
    /// Most that one control replica used.
    double control_core_percent = 0;
    double control_bytes_per_second = 0;
    /// Bytes that one configuration change costs each node.
    double change_bytes_per_node = 0;
    /// Bytes that the death of one scheduler costs each other node, for the lease tables.
    double takeover_bytes_per_node = 0;
};
control_point measure_control(std::size_t nodes);

/// One journal group of three replicas.
struct journal_point {
    std::size_t programs = 0;
    double bytes_per_program = 0;
    double microseconds_per_command = 0;
    double log_bytes_per_call = 0;
    double snapshot_seconds = 0;
};
journal_point measure_journal(std::size_t programs);

/// One scheduler's placement over a pool.
struct placement_point {
    std::size_t replicas = 0;
    double microseconds_per_decision = 0;
    double bytes_per_replica = 0;
    double status_bytes = 0;
};
/// @param policy_text the policy that weighs the candidates
placement_point measure_placement(std::size_t replicas, const std::string& policy_text);

/// Work for each token that passes through a scheduler and a gateway.
struct token_point {
    std::size_t streams = 0;
    double scheduler_microseconds_per_token = 0;
    double gateway_microseconds_per_token = 0;
    double bytes_per_token = 0;
};
token_point measure_tokens(std::size_t streams);

}  // namespace tallyfold::sim
