/// @file
/// Executes seeded fault runs and prints the results for each property.

#include <tclap/CmdLine.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

#include "sim/policy_files.hpp"
#include "sim/run.hpp"

namespace {

using tallyfold::sim::run_result;

struct property_row {
    std::uint64_t runs = 0;
    std::uint64_t violated_runs = 0;
    std::map<std::string, std::uint64_t> faults;
};

/// Aggregated results of all runs.
struct summary {
    std::map<std::string, property_row> rows;
    std::vector<std::int64_t> leader_gaps_ms;
    std::uint64_t failed_runs = 0;
};

void print_list() {
    for (const auto& property : tallyfold::sim::properties()) {
        std::cout << property.name << ": " << property.statement << "\n  faults:";
        for (const std::string& fault : property.faults) {
            std::cout << ' ' << fault;
        }
        std::cout << "\n  tests: " << property.tests << "\n  proved by: "
                  << (property.scenarios.empty()
                          ? "simulation"
                          : "both, simulation and processes (scripts/fault: " + property.scenarios +
                                ")")
                  << '\n';
    }
}

void print_trace(std::uint64_t seed, const std::map<std::string, std::string>& policies,
                 const std::string& wanted) {
    (void)tallyfold::sim::run_with_faults(seed, policies, [&wanted](const std::string& text) {
        if (text.find(wanted) != std::string::npos) {
            std::cout << text << '\n';
        }
    });
}

/// @return true if the run violated the property
bool check_run(const run_result& result, const tallyfold::sim::property& property,
               property_row& row) {
    ++row.runs;
    for (const std::string& fault : property.faults) {
        const auto found = result.faults.find(fault);
        row.faults[fault] += found == result.faults.end() ? 0 : found->second;
    }
    const auto violated = result.violations.find(property.name);
    if (violated == result.violations.end()) {
        return false;
    }
    ++row.violated_runs;
    std::cout << "VIOLATION " << property.name << " seed " << result.seed << " plan " << result.plan
              << ": " << violated->second.front() << " (of " << violated->second.size()
              << ")\n  replay: scripts/prove --seeds 1"
              << " --first-seed " << result.seed << " --property " << property.name << "\n";
    return true;
}

/// @param only name of the property to check; empty for all
void add_run(const run_result& result, const std::string& only, summary& all) {
    bool failed = false;
    for (const auto& property : tallyfold::sim::properties()) {
        if (only.empty() || property.name == only) {
            failed = check_run(result, property, all.rows[property.name]) || failed;
        }
    }
    all.failed_runs += failed ? 1 : 0;
    for (const auto gap : result.leader_gaps) {
        all.leader_gaps_ms.push_back(tallyfold::to_milliseconds(gap));
    }
}

struct seed_range {
    std::uint64_t first = 1;
    std::uint64_t count = 0;
};

summary run_seeds(const seed_range& seeds, const std::string& only, unsigned threads,
                  const std::map<std::string, std::string>& policies) {
    summary all;
    std::mutex mutex;
    std::atomic<std::uint64_t> next{seeds.first};
    const auto work = [&] {
        const std::uint64_t end = seeds.first + seeds.count;
        for (std::uint64_t seed = next++; seed < end; seed = next++) {
            const run_result result = tallyfold::sim::run_with_faults(seed, policies);
            const std::lock_guard lock(mutex);
            add_run(result, only, all);
        }
    };
    std::vector<std::thread> workers;
    for (unsigned index = 0; index < std::max(1U, threads); ++index) {
        workers.emplace_back(work);
    }
    for (std::thread& worker : workers) {
        worker.join();
    }
    return all;
}

void print_rows(const summary& all) {
    for (const auto& property : tallyfold::sim::properties()) {
        const auto row = all.rows.find(property.name);
        if (row == all.rows.end()) {
            continue;
        }
        std::cout << property.name << ": seeds " << row->second.runs << ", violated "
                  << row->second.violated_runs << ", faults";
        for (const auto& [fault, count] : row->second.faults) {
            std::cout << ' ' << fault << '=' << count;
        }
        std::cout << '\n';
    }
}

void print_leader_gaps(std::vector<std::int64_t> gaps) {
    std::sort(gaps.begin(), gaps.end());
    if (!gaps.empty()) {
        std::cout << "control without a leader (sampled each 250 ms): " << gaps.size()
                  << " times, median " << gaps[gaps.size() / 2] << " ms, p99 "
                  << gaps[gaps.size() * 99 / 100] << " ms\n";
    }
}

/// Prints the faults that no run injected, if there were enough runs for every fault.
/// @return the number of such faults
std::uint64_t print_not_injected(const summary& all, std::uint64_t seeds) {
    constexpr std::uint64_t seeds_for_every_fault = 200;
    std::uint64_t not_injected = 0;
    for (const auto& [name, row] : all.rows) {
        for (const auto& [fault, count] : row.faults) {
            if (count == 0 && seeds >= seeds_for_every_fault) {
                std::cout << "NOT INJECTED " << fault << ", which concerns " << name << '\n';
                ++not_injected;
            }
        }
    }
    return not_injected;
}

}  // namespace

int main(int argument_count, char** arguments) {
    TCLAP::CmdLine line("Simulated fault runs of the whole system", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "Number of seeds", false, 20, "N", line);
    TCLAP::ValueArg<std::uint64_t> first("", "first-seed", "First seed", false, 1, "S", line);
    TCLAP::ValueArg<std::string> only("", "property", "Check only this property", false, "", "NAME",
                                      line);
    TCLAP::ValueArg<std::string> folder("", "policies", "Folder of the shipped policies", false,
                                        "policies", "folder", line);
    TCLAP::ValueArg<unsigned> threads("", "threads", "Number of parallel runs", false,
                                      std::thread::hardware_concurrency(), "N", line);
    TCLAP::ValueArg<std::string> trace("", "trace",
                                       "Print the first seed's trace lines that contain this text",
                                       false, "", "text", line);
    TCLAP::SwitchArg list("", "list", "Print the properties and how each is proved", line);
    line.parse(argument_count, arguments);
    if (list.getValue()) {
        print_list();
        return 0;
    }
    const auto policies = tallyfold::sim::read_policies(folder.getValue());
    if (trace.isSet()) {
        print_trace(first.getValue(), policies, trace.getValue());
        return 0;
    }
    const summary all = run_seeds({first.getValue(), seeds.getValue()}, only.getValue(),
                                  threads.getValue(), policies);
    print_rows(all);
    print_leader_gaps(all.leader_gaps_ms);
    const std::uint64_t not_injected = print_not_injected(all, seeds.getValue());
    std::cout << seeds.getValue() - all.failed_runs << " passed, " << all.failed_runs
              << " failed\n";
    return all.failed_runs == 0 && not_injected == 0 ? 0 : 1;
}
