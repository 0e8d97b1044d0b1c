#include "stand_ins/service_core.hpp"

#include "stand_ins/answer_content.hpp"

namespace tallyfold::stand_ins {

namespace {

constexpr duration idle_interval = std::chrono::milliseconds(100);

}  // namespace

tl::expected<void, service_refusal> service_core::run(const scheduler::run_request& request,
                                                      instant now) {
    lease_epoch& epoch = record_.epochs[request.fence.shard];
    if (request.fence.epoch < epoch) {
        return tl::unexpected(service_refusal::stale_epoch);
    }
    epoch = request.fence.epoch;
    const std::string key = request.key.text();
    if (record_.sealed.contains(key)) {
        return tl::unexpected(service_refusal::sealed);
    }
    const auto known = record_.answers.find(key);
    if (known != record_.answers.end()) {
        reports_.push_back(scheduler::request_answered{request.key, known->second});
        return {};
    }
    const bool late = request.not_after != scheduler::no_start_deadline &&
                      now.time_since_epoch().count() > request.not_after;
    if (late) {
        return tl::unexpected(service_refusal::too_late);
    }
    if (leaving_) {
        return tl::unexpected(service_refusal::leaving);
    }
    record_.answers[key] = service_answer(request.key.program, request.key.sequence,
                                          request.operation, request.argument);
    ledger_entry entry;
    entry.key = request.key;
    entry.kind = request.kind;
    entry.backend = settings_.name;
    entry.started = now;
    entry.repeatable = request.repeatable;
    const duration wait(
        random_.between(settings_.shortest_answer.count(), settings_.longest_answer.count()));
    if (!random_.chance(settings_.hang_share)) {
        due_.emplace(now + wait, entries_.size());
    }
    entries_.push_back(std::move(entry));
    return {};
}

scheduler::seal_answered service_core::seal(const scheduler::attempt_key& key) {
    const std::string text = key.text();
    const auto known = record_.answers.find(text);
    if (known != record_.answers.end()) {
        return {key, true, known->second};
    }
    record_.sealed.insert(text);
    return {key, false, {}};
}

instant service_core::tick(instant now) {
    while (!due_.empty() && due_.begin()->first <= now) {
        ledger_entry& entry = entries_[due_.begin()->second];
        entry.finished = due_.begin()->first;
        entry.completed = true;
        reports_.push_back(
            scheduler::request_answered{entry.key, record_.answers.at(entry.key.text())});
        due_.erase(due_.begin());
    }
    return due_.empty() ? now + idle_interval : due_.begin()->first;
}

std::vector<scheduler::backend_report> service_core::take_reports() {
    std::vector<scheduler::backend_report> taken;
    std::swap(taken, reports_);
    return taken;
}

scheduler::status_answered service_core::status(instant now) const {
    scheduler::status_answered answer;
    answer.clock = now.time_since_epoch().count();
    answer.backend = settings_.name;
    answer.load.running = static_cast<std::uint32_t>(due_.size());
    answer.load.leaving = leaving_;
    return answer;
}

}  // namespace tallyfold::stand_ins
