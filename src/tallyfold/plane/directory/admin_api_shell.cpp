#include "tallyfold/plane/directory/admin_api_shell.hpp"

#include <asio/co_spawn.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <chrono>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/base/net/socket_address.hpp"
#include "tallyfold/plane/process/instruments.hpp"

namespace tallyfold::directory {

namespace {

/// Maximum time for which an operator's call waits for the log; shorter than the one-second timeout
/// of operators' clients.
constexpr duration log_timeout = std::chrono::milliseconds(900);
/// Minimum size in bytes of a text that is parsed on the parser thread. Parsing a larger one on the
/// loop thread of a slow machine would delay heartbeats beyond the election timeout: 2 MB take 35
/// ms of a core, so 0.7 s with a twentieth of one. 64 KB take 22 ms there, about one tick.
constexpr std::size_t parser_thread_min_bytes = 64U << 10U;
constexpr const char* folder_unavailable_reason = "the data folder can't be used now";

asio::awaitable<operator_call> parse_in_this_thread(const admin_codec& codec,
                                                    const http::endpoint_request& request) {
    co_return codec.parse(request);
}

std::uint64_t wall_clock_ms() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

/// Name of a change's outcome in the log. A change is overtaken when its version does not exceed
/// the one in force: it is acknowledged without effect.
const char* outcome_name(answer_kind kind, bool is_in_force) {
    switch (kind) {
        case answer_kind::done:
            return is_in_force ? "in_force" : "overtaken";
        case answer_kind::not_leader:
            return "not_leader";
        case answer_kind::unknown:
            break;
    }
    return "unknown";
}

/// The answer to an order to retire a store that was not allowed.
invalid_call refusal_of(retirement_verdict verdict) {
    switch (verdict) {
        case retirement_verdict::too_few_remain:
            return {409, "too few stores would be left"};
        case retirement_verdict::unknown_store:
            return {404, "no such store"};
        case retirement_verdict::undetermined:
        case retirement_verdict::allowed:
        case retirement_verdict::already_ordered:
            break;
    }
    return {503, "this leader has not heard all stores yet; ask again"};
}

}  // namespace

/// An operator's call that waits for its log entry.
struct admin_api::waiting_call {
    explicit waiting_call(asio::io_context& loop) : timer(loop, log_timeout) {}
    asio::steady_timer timer;
    answer_kind kind = answer_kind::unknown;
    bool answered = false;
};

admin_api::admin_api(net::node_process& process, const admin_codec& codec,
                     const std::unique_ptr<directory_core>& core, std::function<void()> pump)
    : process_(process),
      codec_(codec),
      core_(core),
      pump_(std::move(pump)),
      calls_(net::add_counter(process.metrics(), "tallyfold_directory_operator_calls_total",
                              "Calls of operators")) {}

void admin_api::on_answer(const directory_answer& answer) {
    changes_.remove(answer.token);
    const auto [first, last] = waiting_.equal_range(answer.token);
    for (auto entry = first; entry != last; ++entry) {
        entry->second->kind = answer.kind;
        entry->second->answered = true;
        entry->second->timer.cancel();
    }
    waiting_.erase(first, last);
}

void admin_api::on_storage_lost() {
    changes_.clear();
    for (const auto& [token, call] : waiting_) {
        call->answered = true;
        call->timer.cancel();
    }
    waiting_.clear();
}

asio::awaitable<answer_kind> admin_api::wait(request_token token) {
    auto call = std::make_shared<waiting_call>(process_.loop());
    const auto position = waiting_.emplace(token, call);
    pump_();
    if (!call->answered) {
        co_await call->timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    }
    if (!call->answered) {
        waiting_.erase(position);
    }
    co_return call->kind;
}

asio::awaitable<operator_call> admin_api::parse(const http::endpoint_request& request) {
    if (request.body.size() < parser_thread_min_bytes) {
        co_return codec_.parse(request);
    }
    co_return co_await asio::co_spawn(parser_, parse_in_this_thread(codec_, request),
                                      asio::use_awaitable);
}

asio::awaitable<answer_kind> admin_api::submit(directory_command command) {
    const request_token token = next_token_++;
    core_->submit(token, command);
    co_return co_await wait(token);
}

asio::awaitable<answer_kind> admin_api::confirm() {
    const request_token token = next_token_++;
    core_->confirm(token, http::steady_now());
    co_return co_await wait(token);
}

http::endpoint_response admin_api::failure_response(const http::endpoint_request& request,
                                                    answer_kind kind) const {
    if (kind != answer_kind::not_leader || !core_ || core_->leader_address().empty() ||
        core_->leads()) {
        return codec_.refused(503, "no majority has confirmed this call; ask again");
    }
    // The operator interface has the same port on every machine.
    const std::string& own = process_.settings().operators_address;
    const std::string port = own.substr(own.rfind(':'));
    return codec_.redirect(net::ip_of(core_->leader_address()) + port, request.target);
}

asio::awaitable<http::endpoint_response> admin_api::replace(const http::endpoint_request& request) {
    if (!core_) {
        co_return codec_.refused(503, folder_unavailable_reason);
    }
    // Only the leader parses the text: parsing a large one is expensive.
    if (!core_->leads()) {
        co_return failure_response(request, answer_kind::not_leader);
    }
    if (request.body == core_->state().configuration_text()) {
        log_change(core_->state().configuration().version, answer_kind::done);
        co_return codec_.accepted();
    }
    if (const auto original_token = changes_.find(request.body)) {
        const answer_kind kind = co_await wait(*original_token);
        co_return kind == answer_kind::done ? codec_.accepted() : failure_response(request, kind);
    }
    operator_call call = co_await parse(request);
    if (const auto* invalid = std::get_if<invalid_call>(&call)) {
        co_return refuse(request, *invalid);
    }
    if (!core_ || !core_->leads()) {
        co_return failure_response(request, answer_kind::not_leader);
    }
    // A named variable, because GCC 12 destroys aggregate temporaries in a co_await expression
    // twice.
    replace_call replacement = std::get<replace_call>(std::move(call));
    if (!replacement.parsed.tenants.empty() &&
        !core_->may_use_format(protocol::format_version::v2, http::steady_now())) {
        const invalid_call unsupported{503,
                                       "a node of an earlier build can't read tenants; ask again"};
        co_return refuse(request, unsupported);
    }
    const answer_kind kind = co_await change(std::move(replacement), request.body);
    co_return kind == answer_kind::done ? codec_.accepted() : failure_response(request, kind);
}

asio::awaitable<answer_kind> admin_api::change(replace_call call, const std::string& text) {
    const routing::configuration_version version = call.parsed.version;
    directory_command command = replace_configuration{std::move(call.parsed), text};
    const request_token token = next_token_++;
    changes_.add(token, text);
    core_->submit(token, command);
    const answer_kind kind = co_await wait(token);
    log_change(version, kind);
    co_return kind;
}

void admin_api::log_change(routing::configuration_version version, answer_kind kind) const {
    const routing::configuration_version held =
        core_ ? core_->state().configuration().version : routing::no_version;
    const std::string outcome = outcome_name(kind, version == held);
    logging::write_event(logging::event_id::configuration_changed,
                         "version=" + std::to_string(version) + " outcome=" + outcome +
                             " held=" + std::to_string(held));
}

asio::awaitable<http::endpoint_response> admin_api::get_configuration(
    const http::endpoint_request& request) {
    const answer_kind kind = co_await confirm();
    if (kind != answer_kind::done || !core_) {
        co_return failure_response(request, kind);
    }
    if (core_->state().configuration().version == routing::no_version) {
        co_return codec_.refused(503, "no configuration is known yet");
    }
    co_return codec_.configuration(core_->state().configuration_text());
}

asio::awaitable<http::endpoint_response> admin_api::retire(const http::endpoint_request& request,
                                                           const std::string& node) {
    const answer_kind confirmed = co_await confirm();
    if (confirmed != answer_kind::done || !core_) {
        co_return failure_response(request, confirmed);
    }
    const instant now = http::steady_now();
    const retirement_assessment assessment = core_->assess_retirement(node, now);
    if (assessment.verdict == retirement_verdict::already_ordered) {
        log_retirement(node, "repeated", assessment);
        co_return codec_.accepted();
    }
    if (assessment.verdict != retirement_verdict::allowed) {
        const invalid_call refusal = refusal_of(assessment.verdict);
        log_retirement(node, "refused", assessment);
        co_return refuse(request, refusal);
    }
    directory_command command = retire_store{node, core_->disks_of(node, now)};
    const answer_kind kind = co_await submit(std::move(command));
    log_retirement(node, outcome_name(kind, true), assessment);
    co_return kind == answer_kind::done ? codec_.accepted() : failure_response(request, kind);
}

void admin_api::log_retirement(const std::string& node, const std::string& outcome,
                               const retirement_assessment& assessment) {
    logging::write_event(logging::event_id::store_retirement_decided,
                         "store=" + node + " outcome=" + outcome + " " + describe(assessment));
}

asio::awaitable<http::endpoint_response> admin_api::retire_state(
    const http::endpoint_request& request, const std::string& node) {
    const answer_kind confirmed = co_await confirm();
    if (confirmed != answer_kind::done || !core_) {
        co_return failure_response(request, confirmed);
    }
    const retirement_state progress = state_of_retirement(core_->state(), node);
    if (progress == retirement_state::none) {
        co_return codec_.refused(404, "nobody asked to empty this store");
    }
    co_return codec_.retirement(progress == retirement_state::complete ? retire_progress::succeeded
                                                                       : retire_progress::running);
}

asio::awaitable<http::endpoint_response> admin_api::evacuate(const http::endpoint_request& request,
                                                             const evacuate_call& call) {
    const answer_kind confirmed = co_await confirm();
    if (confirmed != answer_kind::done || !core_) {
        co_return failure_response(request, confirmed);
    }
    const zone_evacuations& evacuations = core_->state().evacuations();
    if (evacuations.contains(call.zone) == call.evacuated) {
        co_return codec_.accepted();
    }
    if (call.evacuated && !evacuations.accepts(call.zone)) {
        const invalid_call too_many{409, "too many zones are evacuated"};
        co_return refuse(request, too_many);
    }
    if (!core_->may_use_format(protocol::format_version::v3, http::steady_now())) {
        const invalid_call unsupported{
            503, "a node of an earlier build can't evacuate a zone; ask again"};
        co_return refuse(request, unsupported);
    }
    directory_command command = evacuate_zone{call.zone, call.evacuated, wall_clock_ms()};
    const answer_kind kind = co_await submit(std::move(command));
    logging::write_event(logging::event_id::zone_evacuation_changed,
                         "zone=" + call.zone + " evacuated=" + (call.evacuated ? "yes" : "no") +
                             " outcome=" + outcome_name(kind, true));
    co_return kind == answer_kind::done ? codec_.accepted() : failure_response(request, kind);
}

http::endpoint_response admin_api::refuse(const http::endpoint_request& request,
                                          const invalid_call& call) const {
    logging::write_event(logging::event_id::admin_denied,
                         "call=\"" + request.method + " " + request.target + "\" status=" +
                             std::to_string(call.status) + " reason=\"" + call.reason + "\"");
    return codec_.refused(call.status, call.reason);
}

asio::awaitable<http::endpoint_response> admin_api::serve(http::endpoint_request request) {
    calls_.Increment();
    if (codec_.changes_configuration(request)) {
        co_return co_await replace(request);
    }
    const operator_call call = codec_.parse(request);
    if (const auto* invalid = std::get_if<invalid_call>(&call)) {
        co_return refuse(request, *invalid);
    }
    if (!core_) {
        co_return codec_.refused(503, folder_unavailable_reason);
    }
    if (const auto* start = std::get_if<retire_call>(&call)) {
        co_return co_await retire(request, start->node);
    }
    if (const auto* state = std::get_if<retire_state_call>(&call)) {
        co_return co_await retire_state(request, state->node);
    }
    if (const auto* evacuation = std::get_if<evacuate_call>(&call)) {
        co_return co_await evacuate(request, *evacuation);
    }
    co_return co_await get_configuration(request);
}

}  // namespace tallyfold::directory
