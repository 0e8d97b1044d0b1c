/// @file
/// Query that returns a program's state and its recent scheduling decisions as JSON.

#include <nlohmann/json.hpp>

#include "tallyfold/program_api/scheduler/scheduler_core.hpp"

namespace tallyfold::scheduler {

void scheduler_core::on_inspect(const waiter& requester, const protocol::inspect_call& call,
                                const owned_shard& shard, instant now) {
    const journal::program_record* program = shard.state.find(call.program);
    journal::outcome result;
    if (program == nullptr) {
        result.code = journal::answer_code::program_not_found;
        result.detail = "no such program";
        reply(requester, std::move(result));
        return;
    }
    nlohmann::json view;
    view["program"] = program->id;
    view["root"] = program->root;
    view["tenant"] = program->tenant;
    view["class"] = program->program_class;
    view["budget"] = program->budget;
    view["charged"] = program->charged;
    view["reserved"] = program->reserved;
    view["last_sequence"] = program->last_sequence;
    view["closed"] = program->closed;
    view["close_reason"] = program->close_reason;
    view["scheduler"] = settings_.node;
    view["shard"] = shard_number(program->id);
    view["epoch"] = shard.epoch;
    view["history"] = nlohmann::json::array();
    for (const journal::message& message : program->history) {
        view["history"].push_back(
            {{"role", message.role}, {"content", message.content}, {"tokens", message.tokens}});
    }
    view["journey"] = nlohmann::json::array();
    const auto runtime = programs_.find(program->id);
    if (runtime != programs_.end()) {
        for (const decision& step : runtime->second.decisions) {
            view["journey"].push_back({{"milliseconds_ago", to_milliseconds(now - step.at)},
                                       {"sequence", step.sequence},
                                       {"decision", step.text}});
        }
    }
    result.ran = journal::ran_state::yes;
    result.answer = view.dump();
    reply(requester, std::move(result));
}

}  // namespace tallyfold::scheduler
