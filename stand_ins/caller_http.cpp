#include "stand_ins/caller_http.hpp"

#include <nlohmann/json.hpp>

namespace tallyfold::stand_ins {

namespace {

using journal::answer_code;
using journal::outcome;
using journal::ran_state;
using nlohmann::json;

json render_messages(const std::vector<journal::message>& messages) {
    json list = json::array();
    for (const journal::message& message : messages) {
        list.push_back(
            {{"role", message.role}, {"content", message.content}, {"tokens", message.tokens}});
    }
    return list;
}

caller_http_request render_open(const caller_action& action, const protocol::open_call& open) {
    json body = {{"tenant", open.program.tenant},
                 {"class", open.program.program_class},
                 {"request_identity", open.program.request_identity}};
    if (action.parent.empty()) {
        body["budget"] = open.program.budget;
    } else {
        body["parent"] = action.parent;
    }
    return {"POST", "/v1/programs", body.dump(), false};
}

caller_http_request render_call(const protocol::program_call& call) {
    json body = {{"sequence", call.sequence},
                 {"request_identity", call.request_identity},
                 {"submission", call.submission},
                 {"unanswered", call.unanswered}};
    if (call.kind == journal::call_kind::model) {
        body["program"] = call.program;
        body["messages"] = render_messages(call.messages);
        body["max_tokens"] = call.max_tokens;
        body["stream"] = true;
        return {"POST", "/v1/chat/completions", body.dump(), true};
    }
    body["operation"] = call.operation;
    body["argument"] = call.argument;
    body["repeatable"] = call.repeatable;
    const char* action = call.kind == journal::call_kind::tool ? "/tools" : "/requests";
    return {"POST", "/v1/programs/" + call.program + action, body.dump(), false};
}

answer_code parse_code(const std::string& text) {
    for (auto value = static_cast<int>(answer_code::ok);
         value <= static_cast<int>(answer_code::cancelled); ++value) {
        if (to_string(static_cast<answer_code>(value)) == text) {
            return static_cast<answer_code>(value);
        }
    }
    return answer_code::backend_failed;
}

ran_state parse_ran(const std::string& text) {
    return text == "no" ? ran_state::no : text == "yes" ? ran_state::yes : ran_state::unknown;
}

outcome parse_error(const json& error) {
    outcome result;
    result.code = parse_code(error.at("code").get<std::string>());
    result.ran = parse_ran(error.at("ran").get<std::string>());
    result.detail = error.at("message").get<std::string>();
    result.retry_after_ms = error.value("retry_after_ms", 0U);
    return result;
}

}  // namespace

caller_http_request render_request(const caller_action& action) {
    if (const auto* open = std::get_if<protocol::open_call>(&action.call)) {
        return render_open(action, *open);
    }
    if (const auto* call = std::get_if<protocol::program_call>(&action.call)) {
        return render_call(*call);
    }
    const auto& close = std::get<protocol::close_call>(action.call);
    return {"POST", "/v1/programs/" + close.program + "/close", "{}", false};
}

std::optional<outcome> parse_answer(const caller_action& action, const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    try {
        if (parsed.contains("error")) {
            return parse_error(parsed.at("error"));
        }
        outcome result;
        result.ran = ran_state::yes;
        if (std::holds_alternative<protocol::open_call>(action.call)) {
            result.answer = parsed.at("program").get<std::string>();
        } else if (std::holds_alternative<protocol::program_call>(action.call)) {
            result.answer = parsed.at("answer").get<std::string>();
        }
        return result;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<caller_stream_event> parse_stream_event(std::string_view text) {
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;  // "[DONE]" or an unknown event.
    }
    try {
        caller_stream_event event;
        if (parsed.contains("error")) {
            event.end = parse_error(parsed.at("error"));
            return event;
        }
        const json& choice = parsed.at("choices").at(0);
        event.piece = choice.at("delta").value("content", std::string{});
        if (choice.contains("finish_reason")) {
            event.end = outcome{};
            event.end->ran = ran_state::yes;
        }
        return event;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}  // namespace tallyfold::stand_ins
