/// @file
/// Measures the slopes of docs/CAPACITY.md and prints its tables.

#include <tclap/CmdLine.h>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>

#include "sim/capacity.hpp"

namespace {

using namespace tallyfold::sim;

/// The target (docs/CAPACITY.md).
constexpr double target_nodes = 710;
constexpr double target_requests = 35'000;
constexpr double target_tokens = 8e6;
constexpr double target_programs = 1.1e6;
constexpr double target_machines = 35;
constexpr double target_changes_per_day = 7'800;
constexpr double restarts_per_day = 1'030;
constexpr double seconds_per_day = 86'400;
constexpr double kilobyte = 1024;
constexpr double gigabyte = 1024 * 1024 * 1024;
/// Commands that one call costs the journal: begin and end.
constexpr double commands_per_call = 2;

void print_control() {
    std::cout << "### Control's work for nodes\n\n"
                 "| hollow nodes | bytes/s per node | % of a core per node | % of a core, busiest "
                 "control replica | KB/s, busiest control replica | bytes per change and node | "
                 "bytes per takeover and node |\n|---|---|---|---|---|---|---|\n";
    control_point last;
    for (const std::size_t nodes : {100U, 300U, 710U}) {
        last = measure_control(nodes);
        std::cout << "| " << nodes << " | " << last.node_bytes_per_second << " | "
                  << last.node_core_percent << " | " << last.control_core_percent << " | "
                  << last.control_bytes_per_second / kilobyte << " | " << last.change_bytes_per_node
                  << " | " << last.takeover_bytes_per_node << " |\n";
    }
    const double changes = last.change_bytes_per_node * target_changes_per_day / seconds_per_day;
    const double takeovers = last.takeover_bytes_per_node * restarts_per_day / seconds_per_day;
    const double total = last.node_bytes_per_second + changes + takeovers;
    std::cout << "\nPer node at " << target_nodes << " nodes: heartbeats "
              << last.node_bytes_per_second << " B/s, changes " << changes << " B/s, takeovers "
              << takeovers << " B/s; together " << total / kilobyte
              << " KB/s against a limit of 2 KB/s.\n\n";
}

void print_journal() {
    std::cout << "### Journal\n\n"
                 "| hollow programs | bytes of memory per program | us per command | log bytes per "
                 "program of one call | seconds to save a snapshot |\n|---|---|---|---|---|\n";
    journal_point last;
    for (const std::size_t programs : {10'000U, 30'000U, 100'000U}) {
        last = measure_journal(programs);
        std::cout << "| " << programs << " | " << last.bytes_per_program << " | "
                  << last.microseconds_per_command << " | " << last.log_bytes_per_call << " | "
                  << last.snapshot_seconds << " |\n";
    }
    const double commands = target_requests * commands_per_call;
    const double cores = commands * last.microseconds_per_command / 1e6;
    std::cout << "\nAt " << target_programs
              << " programs of this size: " << target_programs * last.bytes_per_program / gigabyte
              << " GB a copy, three copies over " << target_machines << " machines: "
              << 3 * target_programs * last.bytes_per_program / gigabyte / target_machines
              << " GB each. " << commands << " commands/s cost " << cores
              << " cores a copy to apply, " << 3 * cores / target_machines
              << " cores on each machine.\n\n";
}

void print_placement(const std::string& policy_text) {
    std::cout << "### Placement\n\n| hollow replicas | us per decision | bytes per replica | bytes "
                 "of an empty status |\n|---|---|---|---|\n";
    for (const std::size_t replicas : {20U, 100U, 1'000U, 12'000U}) {
        const placement_point point = measure_placement(replicas, policy_text);
        std::cout << "| " << replicas << " | " << point.microseconds_per_decision << " | "
                  << point.bytes_per_replica << " | " << point.status_bytes << " |\n";
    }
    std::cout << '\n';
}

void print_tokens() {
    std::cout << "### Tokens\n\n| hollow streams | us per token, scheduler | us per token, gateway "
                 "| bytes per token, three hops |\n|---|---|---|---|\n";
    token_point last;
    for (const std::size_t streams : {100U, 300U, 1'000U}) {
        last = measure_tokens(streams);
        std::cout << "| " << streams << " | " << last.scheduler_microseconds_per_token << " | "
                  << last.gateway_microseconds_per_token << " | " << last.bytes_per_token << " |\n";
    }
    const double scheduler_cores = target_tokens * last.scheduler_microseconds_per_token / 1e6;
    const double gateway_cores = target_tokens * last.gateway_microseconds_per_token / 1e6;
    std::cout << "\n"
              << target_tokens << " tokens/s, a message each: " << scheduler_cores
              << " cores of schedulers and " << gateway_cores << " of gateways over "
              << target_nodes << " nodes: " << (scheduler_cores + gateway_cores) / target_nodes
              << " of a core a node, without sockets.\n";
}

}  // namespace

int main(int argument_count, char** arguments) {
    TCLAP::CmdLine line("Measures the slopes of docs/CAPACITY.md", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> policy("", "policy", "Policy file for placement decisions", false,
                                        "policies/huayin.lua", "file", line);
    line.parse(argument_count, arguments);
    std::ifstream file(policy.getValue());
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    std::cout << std::setprecision(3);
    print_control();
    print_journal();
    print_placement(text);
    print_tokens();
    return 0;
}
