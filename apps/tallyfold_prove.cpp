/// @file
/// Runs the seeded fault runs and prints a row for each point of what must always hold.

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

}  // namespace

int main(int argument_count, char** arguments) {
    TCLAP::CmdLine line("Simulated fault runs of the whole system", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "Number of seeds", false, 20, "N", line);
    TCLAP::ValueArg<std::uint64_t> first("", "first-seed", "First seed", false, 1, "S", line);
    TCLAP::ValueArg<std::string> only("", "property", "Judge this property only", false, "", "NAME",
                                      line);
    TCLAP::ValueArg<std::string> folder("", "policies", "Folder of the shipped policies", false,
                                        "policies", "folder", line);
    TCLAP::ValueArg<unsigned> threads("", "threads", "Runs at once", false,
                                      std::thread::hardware_concurrency(), "N", line);
    TCLAP::ValueArg<std::string> trace("", "trace", "Print the first seed's lines that hold this",
                                       false, "", "text", line);
    TCLAP::SwitchArg list("", "list", "Print the properties and how each is proved", line);
    line.parse(argument_count, arguments);
    if (list.getValue()) {
        print_list();
        return 0;
    }
    const auto policies = tallyfold::sim::read_policies(folder.getValue());
    if (trace.isSet()) {
        const std::string wanted = trace.getValue();
        (void)tallyfold::sim::run_with_faults(first.getValue(), policies,
                                              [&wanted](const std::string& text) {
                                                  if (text.find(wanted) != std::string::npos) {
                                                      std::cout << text << '\n';
                                                  }
                                              });
        return 0;
    }
    std::map<std::string, property_row> rows;
    std::map<std::string, std::uint64_t> faults;
    std::vector<std::int64_t> gaps;
    std::uint64_t failed_runs = 0;
    std::mutex mutex;
    std::atomic<std::uint64_t> next{first.getValue()};
    const std::uint64_t end = first.getValue() + seeds.getValue();
    const auto work = [&] {
        for (std::uint64_t seed = next++; seed < end; seed = next++) {
            const run_result result = tallyfold::sim::run_with_faults(seed, policies);
            const std::lock_guard lock(mutex);
            bool failed = false;
            for (const auto& property : tallyfold::sim::properties()) {
                if (!only.getValue().empty() && property.name != only.getValue()) {
                    continue;
                }
                property_row& row = rows[property.name];
                ++row.runs;
                for (const std::string& fault : property.faults) {
                    const auto found = result.faults.find(fault);
                    row.faults[fault] += found == result.faults.end() ? 0 : found->second;
                }
                const auto violated = result.violations.find(property.name);
                if (violated == result.violations.end()) {
                    continue;
                }
                failed = true;
                ++row.violated_runs;
                std::cout << "VIOLATION " << property.name << " seed " << seed << " plan "
                          << result.plan << ": " << violated->second.front() << " (of "
                          << violated->second.size() << ")\n  replay: scripts/prove --seeds 1"
                          << " --first-seed " << seed << " --property " << property.name << "\n";
            }
            failed_runs += failed ? 1 : 0;
            for (const auto gap : result.leader_gaps) {
                gaps.push_back(tallyfold::to_milliseconds(gap));
            }
        }
    };
    std::vector<std::thread> workers;
    for (unsigned index = 0; index < std::max(1U, threads.getValue()); ++index) {
        workers.emplace_back(work);
    }
    for (std::thread& worker : workers) {
        worker.join();
    }
    for (const auto& property : tallyfold::sim::properties()) {
        const auto row = rows.find(property.name);
        if (row == rows.end()) {
            continue;
        }
        std::cout << property.name << ": seeds " << row->second.runs << ", violated "
                  << row->second.violated_runs << ", faults";
        for (const auto& [fault, count] : row->second.faults) {
            std::cout << ' ' << fault << '=' << count;
        }
        std::cout << '\n';
    }
    std::sort(gaps.begin(), gaps.end());
    if (!gaps.empty()) {
        std::cout << "control without a leader (sampled each 250 ms): " << gaps.size()
                  << " times, median " << gaps[gaps.size() / 2] << " ms, p99 "
                  << gaps[gaps.size() * 99 / 100] << " ms\n";
    }
    std::uint64_t not_injected = 0;
    constexpr std::uint64_t seeds_for_every_fault = 200;
    for (const auto& [name, row] : rows) {
        for (const auto& [fault, count] : row.faults) {
            if (count == 0 && seeds.getValue() >= seeds_for_every_fault) {
                std::cout << "NOT INJECTED " << fault << ", which concerns " << name << '\n';
                ++not_injected;
            }
        }
    }
    std::cout << seeds.getValue() - failed_runs << " passed, " << failed_runs << " failed\n";
    return failed_runs == 0 && not_injected == 0 ? 0 : 1;
}
