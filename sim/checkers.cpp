#include "sim/checkers.hpp"

#include <algorithm>
#include <map>

#include "tallyfold/program_api/journal/shard_state.hpp"

namespace tallyfold::sim {

namespace {

using stand_ins::caller_report;
using stand_ins::ledger_entry;

/// Period after the start of a leave in which a back end may still receive new requests.
constexpr duration leaving_grace = std::chrono::seconds(3);
/// Deadline for every serving node to apply an accepted configuration.
constexpr duration configuration_bound = std::chrono::seconds(6);

std::string describe(const ledger_entry& entry) {
    return entry.key.text() + " on " + entry.backend + " at " +
           std::to_string(entry.started.time_since_epoch().count());
}

std::vector<std::string> check_order(const observations& seen) {
    std::vector<std::string> violations;
    std::map<program_id, sequence_number> newest;
    for (const ledger_entry& entry : seen.ledger) {
        sequence_number& last = newest[entry.key.program];
        if (entry.key.sequence < last) {
            violations.push_back("started after sequence " + std::to_string(last) + ": " +
                                 describe(entry));
        }
        last = std::max(last, entry.key.sequence);
    }
    return violations;
}

std::vector<std::string> check_history(const observations& seen) {
    std::vector<std::string> violations;
    for (const caller_report& report : seen.callers) {
        if (report.wrong_answers > 0) {
            violations.push_back(report.program + ": an answer came from another history");
        }
        if (report.completed && !report.members.empty() &&
            !seen.histories.contains(report.program)) {
            violations.push_back(report.program + ": the journal no longer has the program");
        }
    }
    return violations;
}

std::vector<std::string> check_budget(const observations& seen) {
    std::vector<std::string> violations;
    std::map<program_id, token_count> used;
    for (const ledger_entry& entry : seen.ledger) {
        used[journal::root_program_id(entry.key.program)] += entry.tokens;
    }
    for (const caller_report& report : seen.callers) {
        if (used[report.program] > report.budget) {
            violations.push_back(report.program + ": used " + std::to_string(used[report.program]) +
                                 " of " + std::to_string(report.budget) + " tokens");
        }
    }
    return violations;
}

std::vector<std::string> check_memory(const observations& seen) {
    std::vector<std::string> violations;
    for (const auto& [program, tokens] : seen.held_after_end) {
        violations.push_back(program + ": engines still hold " + std::to_string(tokens) +
                             " tokens");
    }
    return violations;
}

std::vector<std::string> check_whole_answers(const observations& seen) {
    std::vector<std::string> violations;
    for (const caller_report& report : seen.callers) {
        const bool wrong = report.wrong_answers > 0 || report.lost > 0;
        if (wrong || !report.completed) {
            violations.push_back(
                report.program + ": wrong " + std::to_string(report.wrong_answers) + ", lost " +
                std::to_string(report.lost) + (report.completed ? "" : ", not completed") +
                (report.notes.empty() ? "" : "; " + report.notes.front()));
        }
    }
    return violations;
}

std::vector<std::string> check_not_run(const observations& seen) {
    std::vector<std::string> violations;
    std::map<std::pair<program_id, sequence_number>, std::vector<const ledger_entry*>> attempts;
    for (const ledger_entry& entry : seen.ledger) {
        attempts[{entry.key.program, entry.key.sequence}].push_back(&entry);
    }
    for (const caller_report& report : seen.callers) {
        for (const stand_ins::not_run_claim& claim : report.claims) {
            for (const ledger_entry* entry : attempts[{claim.program, claim.sequence}]) {
                if (entry->started < claim.retried_at) {
                    violations.push_back("reported as not run, but ran: " + describe(*entry));
                }
            }
        }
    }
    return violations;
}

std::vector<std::string> check_at_most_once(const observations& seen) {
    std::vector<std::string> violations;
    std::map<std::pair<program_id, sequence_number>, int> runs;
    for (const ledger_entry& entry : seen.ledger) {
        // A program's final app request is not idempotent.
        const bool once = entry.kind == journal::call_kind::app && !entry.repeatable;
        if (once && ++runs[{entry.key.program, entry.key.sequence}] > 1) {
            violations.push_back("ran again: " + describe(entry));
        }
    }
    return violations;
}

std::vector<std::string> check_leaving(const observations& seen) {
    std::vector<std::string> violations;
    for (const ledger_entry& entry : seen.ledger) {
        const auto leaving = seen.leaving.find(entry.backend);
        if (leaving != seen.leaving.end() && entry.started > leaving->second + leaving_grace) {
            violations.push_back("new request on a leaving back end: " + describe(entry));
        }
    }
    return violations;
}

std::vector<std::string> check_planned_stop(const observations& seen) {
    std::vector<std::string> violations;
    if (!seen.only_planned_stops) {
        return violations;
    }
    for (const caller_report& report : seen.callers) {
        if (report.disturbances > 0 || report.failed_calls > 0) {
            violations.push_back(report.program + ": " + std::to_string(report.disturbances) +
                                 " requests were interrupted");
        }
    }
    for (const ledger_entry& entry : seen.ledger) {
        if (!entry.completed) {
            violations.push_back("interrupted: " + describe(entry));
        }
    }
    return violations;
}

std::vector<std::string> check_configuration(const observations& seen) {
    std::vector<std::string> violations;
    std::map<std::pair<configuration::item_key, std::uint64_t>, std::string> winners;
    for (const operator_record& record : seen.operators) {
        if (!record.result || record.result->status != configuration::change_status::accepted) {
            continue;
        }
        const auto place = std::make_pair(record.command.key, record.result->item_version);
        const auto [winner, first] = winners.try_emplace(place, record.command.command_identity);
        if (!first && winner->second != record.command.command_identity) {
            violations.push_back("two changes were accepted from one version: " + winner->second +
                                 ", " + record.command.command_identity);
        }
        const auto found = seen.final_configuration.items().find(record.command.key);
        if (found == seen.final_configuration.items().end() ||
            found->second.version < record.result->item_version) {
            violations.push_back("reverted: " + record.command.command_identity);
        } else if (found->second.version == record.result->item_version &&
                   found->second.body != record.command.body) {
            violations.push_back("replaced without a change: " + record.command.command_identity);
        }
        for (const configuration_sample& sample : seen.configuration) {
            const bool late = sample.at > record.accepted_at + configuration_bound;
            if (late && sample.serving && sample.version < record.result->version) {
                violations.push_back(sample.node + " serves version " +
                                     std::to_string(sample.version) + " after " +
                                     std::to_string(record.result->version) + " was accepted");
                break;
            }
        }
    }
    return violations;
}

}  // namespace

const std::vector<property>& properties() {
    static const std::vector<std::string> crashes{
        "kill_control", "kill_scheduler", "kill_gateway", "freeze_scheduler", "freeze_control",
        "cut_silent",   "cut_one_way",    "slow_link",    "chaotic_network",  "clock_jump"};
    static const std::vector<property> all = {
        {"order", "the calls of one program run in the order it issued them", crashes,
         "shard_state_test engine_core_test backend_http_codec_test backend_protocol_test", "all",
         check_order},
        {"history",
         "a conversation history is never lost and never mixed",
         {"kill_control", "kill_scheduler", "lose_disk", "second_failure", "freeze_scheduler"},
         "log_store_test replica_fsm_test shard_state_test gateway_test",
         "all",
         check_history},
        {"budget",
         "a program never exceeds its budget",
         {"kill_scheduler", "freeze_scheduler", "kill_engine", "cut_silent"},
         "shard_state_test trace_replay_test",
         "all",
         check_budget},
        {"memory",
         "engine memory of finished or abandoned programs returns",
         {"kill_scheduler", "abandoned_program", "cut_silent", "kill_engine"},
         "engine_core_test",
         "all",
         check_memory},
        {"whole_answers",
         "every caller receives the whole answer to its own request",
         {"kill_engine", "kill_scheduler", "kill_gateway", "lose_cache", "hung_tool", "cut_silent"},
         "gateway_test engine_core_test journal_client_test",
         "all",
         check_whole_answers},
        {"not_run",
         "what is said not to have run did not run",
         {"kill_scheduler", "freeze_scheduler", "kill_engine", "kill_app"},
         "gateway_test backend_http_codec_test backend_protocol_test",
         "all",
         check_not_run},
        {"at_most_once",
         "a request that must not repeat runs at most once",
         {"kill_scheduler", "freeze_scheduler", "kill_app", "cut_silent"},
         "shard_state_test trace_replay_test",
         "all",
         check_at_most_once},
        {"leaving",
         "a leaving back end receives no new work after a few seconds",
         {"leave_engine", "leave_app"},
         "backend_pool_test",
         "",
         check_leaving},
        {"planned_stop",
         "a planned stop cuts off no request in flight",
         {"drain_scheduler", "drain_gateway"},
         "gateway_test lease_assigner_test",
         "planned_stop",
         check_planned_stop},
        {"configuration",
         "an accepted configuration is in force everywhere and never reverts",
         {"operator_race", "operator_resend", "kill_control", "freeze_control", "lose_disk",
          "far_behind"},
         "configuration_test",
         "operator_race",
         check_configuration},
    };
    return all;
}

}  // namespace tallyfold::sim
