#include "tallyfold/program_api/gateway/queries/render_answer.hpp"

#include <nlohmann/json.hpp>

namespace tallyfold::gateway {

namespace {

using journal::answer_code;
using nlohmann::json;

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json render_error(const journal::outcome& result) {
    json error;
    error["code"] = to_string(result.code);
    error["ran"] = to_string(result.ran);
    error["message"] = result.detail;
    if (result.retry_after_ms > 0) {
        error["retry_after_ms"] = result.retry_after_ms;
    }
    return error;
}

json render_usage(const journal::outcome& result) {
    return {{"prompt_tokens", result.prompt_tokens},
            {"completion_tokens", result.completion_tokens},
            {"total_tokens", result.prompt_tokens + result.completion_tokens},
            {"cached_tokens", result.cached_tokens}};
}

json completion_object(const caller_request& request, const char* object) {
    const auto& call = std::get<protocol::program_call>(request.call);
    return {{"id", call.program + "/" + std::to_string(call.sequence)},
            {"object", object},
            {"model", request.model}};
}

bool is_completion(const caller_request& request) {
    const auto* call = std::get_if<protocol::program_call>(&request.call);
    return call != nullptr && call->kind == journal::call_kind::model;
}

}  // namespace

int status_of(const journal::outcome& result) {
    switch (result.code) {
        case answer_code::ok:
            return 200;
        case answer_code::malformed:
            return 400;
        case answer_code::unauthorized:
            return 401;
        case answer_code::over_budget:
            return 402;
        case answer_code::unknown_tenant:
        case answer_code::unknown_class:
        case answer_code::program_not_found:
            return 404;
        case answer_code::program_closed:
        case answer_code::sequence_out_of_order:
        case answer_code::identity_conflict:
        case answer_code::too_many_turns:
        case answer_code::cancelled:
            return 409;
        case answer_code::answer_expired:
            return 410;
        case answer_code::too_large:
            return 413;
        case answer_code::overloaded:
            return 429;
        case answer_code::backend_failed:
            return 502;
        case answer_code::no_owner:
        case answer_code::owner_changed:
        case answer_code::configuration_stale:
        case answer_code::stopping:
        case answer_code::no_backend:
        case answer_code::outcome_unknown:
            return 503;
        case answer_code::deadline_exceeded:
            return 504;
    }
    return 500;
}

unsigned retry_after_seconds(const journal::outcome& result) {
    constexpr unsigned milliseconds_per_second = 1000;
    return (result.retry_after_ms + milliseconds_per_second - 1) / milliseconds_per_second;
}

std::string render_answer(const caller_request& request, const journal::outcome& result) {
    if (result.code != answer_code::ok) {
        return dump({{"error", render_error(result)}});
    }
    if (std::holds_alternative<protocol::inspect_call>(request.call)) {
        return result.answer;
    }
    if (std::holds_alternative<protocol::open_call>(request.call)) {
        return dump({{"program", result.answer}});
    }
    if (std::holds_alternative<protocol::close_call>(request.call)) {
        return dump({{"closed", true}, {"reason", result.answer}});
    }
    if (!is_completion(request)) {
        return dump({{"answer", result.answer}, {"ran", "yes"}});
    }
    json body = completion_object(request, "chat.completion");
    body["choices"] =
        json::array({{{"index", 0},
                      {"finish_reason", "stop"},
                      {"message", {{"role", "assistant"}, {"content", result.answer}}}}});
    body["usage"] = render_usage(result);
    return dump(body);
}

std::string render_piece(const caller_request& request, const std::string& piece) {
    json body = completion_object(request, "chat.completion.chunk");
    body["choices"] = json::array({{{"index", 0}, {"delta", {{"content", piece}}}}});
    return "data: " + dump(body) + "\n\n";
}

std::string render_stream_end(const caller_request& request, const journal::outcome& result) {
    json body = completion_object(request, "chat.completion.chunk");
    if (result.code != answer_code::ok) {
        body["error"] = render_error(result);
        return "data: " + dump(body) + "\n\n";
    }
    body["choices"] =
        json::array({{{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}});
    body["usage"] = render_usage(result);
    return "data: " + dump(body) + "\n\ndata: [DONE]\n\n";
}

}  // namespace tallyfold::gateway
