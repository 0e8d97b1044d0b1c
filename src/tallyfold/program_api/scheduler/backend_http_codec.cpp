#include "tallyfold/program_api/scheduler/backend_http_codec.hpp"

#include <nlohmann/json.hpp>

namespace tallyfold::scheduler {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds poll_timeout{1000};
constexpr std::chrono::milliseconds order_timeout{2000};
constexpr int status_leaving = 503;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

json render_fence(const ownership_fence& fence) {
    return {{"shard", fence.shard}, {"epoch", fence.epoch}};
}

json render_messages(const std::vector<journal::message>& messages) {
    json list = json::array();
    for (const journal::message& message : messages) {
        list.push_back(
            {{"role", message.role}, {"content", message.content}, {"tokens", message.tokens}});
    }
    return list;
}

backend_http_request post(std::string path, const json& body, std::chrono::milliseconds timeout) {
    return {"POST", std::move(path), dump_json(body), timeout, false, false};
}

backend_http_request render(const start_stream& order) {
    const json body = {{"key", order.key.text()},    {"fence", render_fence(order.fence)},
                       {"model", order.model},       {"messages", render_messages(*order.prompt)},
                       {"prefix", order.prefix},     {"max_tokens", order.max_tokens},
                       {"priority", order.priority}, {"not_after", order.not_after}};
    backend_http_request request = post("/v1/streams", body, {});
    request.streamed = true;
    return request;
}

backend_http_request render(const resume_stream& order) {
    const json body = {{"key", order.key.text()}, {"offset", order.offset}};
    backend_http_request request = post("/v1/streams/resume", body, {});
    request.streamed = true;
    return request;
}

backend_http_request render(const cancel_stream& order) {
    return post("/v1/streams/cancel", {{"key", order.key.text()}}, order_timeout);
}

backend_http_request render(const run_request& order) {
    const json body = {{"key", order.key.text()},       {"fence", render_fence(order.fence)},
                       {"kind", to_string(order.kind)}, {"operation", order.operation},
                       {"argument", order.argument},    {"repeatable", order.repeatable},
                       {"not_after", order.not_after}};
    backend_http_request request = post(
        "/v1/requests", body, std::chrono::duration_cast<std::chrono::milliseconds>(order.timeout));
    request.fresh_connection = !order.repeatable;
    return request;
}

backend_http_request render(const seal_request& order) {
    return post("/v1/requests/seal", {{"key", order.key.text()}}, order_timeout);
}

backend_http_request render(const retain_cache& order) {
    return post("/v1/cache/retain",
                {{"program", order.program},
                 {"value", order.value},
                 {"lease_ms", to_milliseconds(order.lease)}},
                order_timeout);
}

backend_http_request render(const release_cache& order) {
    return post("/v1/cache/release", {{"programs", order.programs}}, order_timeout);
}

backend_http_request render(const poll_status& order) {
    return {"GET", "/v1/status?after=" + std::to_string(order.after_event), {}, poll_timeout, false,
            false};
}

backend_http_request render(const poll_members& /*order*/) {
    return {"GET", "/v1/members", {}, poll_timeout, false, false};
}

backend_report parse_status(const backend_name& backend, const json& body) {
    status_answered status;
    status.backend = backend;
    status.load.running = body.at("running").get<std::uint32_t>();
    status.load.waiting = body.at("waiting").get<std::uint32_t>();
    status.load.cache_fill = body.at("cache_fill").get<double>();
    status.load.leaving = body.at("leaving").get<bool>();
    status.clock = body.at("clock").get<backend_clock>();
    for (const json& event : body.at("events")) {
        status.events.push_back({event.at("number").get<std::uint64_t>(),
                                 event.at("stored").get<bool>(),
                                 {event.at("hash").get<scheduling::prefix_hash>(),
                                  event.at("tokens").get<token_count>()}});
    }
    return status;
}

members_answered parse_member_list(const json& body) {
    members_answered list;
    for (const json& entry : body.at("members")) {
        scheduling::backend_member member;
        const auto kind = parse_backend_kind(entry.at("kind").get<std::string>());
        if (!kind) {
            throw std::invalid_argument("a member's kind must be engine, app or tool");
        }
        member.kind = *kind;
        member.name = entry.at("name").get<std::string>();
        member.address = entry.at("address").get<std::string>();
        member.zone = entry.at("zone").get<std::string>();
        member.variant = entry.at("model").get<std::string>();
        member.slots = entry.at("slots").get<std::uint32_t>();
        member.leaving = entry.at("leaving").get<bool>();
        list.members.push_back(std::move(member));
    }
    return list;
}

std::optional<backend_report> report_answer(const backend_order& order, const json& body) {
    if (const auto* run = std::get_if<run_request>(&order)) {
        return request_answered{run->key, body.at("answer").get<std::string>()};
    }
    if (const auto* seal = std::get_if<seal_request>(&order)) {
        return seal_answered{seal->key, body.at("ran").get<bool>(),
                             body.value("answer", std::string{})};
    }
    if (const auto* poll = std::get_if<poll_status>(&order)) {
        return parse_status(poll->backend, body);
    }
    if (const auto* release = std::get_if<release_cache>(&order)) {
        return release_confirmed{release->backend, release->programs};
    }
    if (std::holds_alternative<poll_members>(order)) {
        return parse_member_list(body);
    }
    return std::nullopt;
}

}  // namespace

std::string_view to_string(scheduling::backend_kind kind) {
    switch (kind) {
        case scheduling::backend_kind::engine:
            return "engine";
        case scheduling::backend_kind::app:
            return "app";
        case scheduling::backend_kind::tool:
            return "tool";
    }
    return "invalid";
}

std::optional<scheduling::backend_kind> parse_backend_kind(std::string_view text) {
    for (const auto kind : {scheduling::backend_kind::engine, scheduling::backend_kind::app,
                            scheduling::backend_kind::tool}) {
        if (to_string(kind) == text) {
            return kind;
        }
    }
    return std::nullopt;
}

backend_name target_of(const backend_order& order) {
    return std::visit(
        [](const auto& body) {
            if constexpr (std::is_same_v<std::decay_t<decltype(body)>, poll_members>) {
                return backend_name{};
            } else {
                return body.backend;
            }
        },
        order);
}

std::optional<attempt_key> attempt_of(const backend_order& order) {
    return std::visit(
        [](const auto& body) -> std::optional<attempt_key> {
            if constexpr (requires { body.key; }) {
                return body.key;
            } else {
                return std::nullopt;
            }
        },
        order);
}

backend_http_request render_order(const backend_order& order) {
    return std::visit([](const auto& body) { return render(body); }, order);
}

codec_result<std::optional<backend_report>> parse_answer(const backend_order& order,
                                                         const std::string& body) {
    return read_json(body, [&](const json& parsed) { return report_answer(order, parsed); });
}

std::optional<backend_report> report_refusal(const backend_order& order, int status) {
    if (const auto* resume = std::get_if<resume_stream>(&order)) {
        return attempt_failed{resume->key, failure_kind::unknown_stream};
    }
    if (std::holds_alternative<start_stream>(order) || std::holds_alternative<run_request>(order)) {
        const failure_kind kind = status == status_leaving ? failure_kind::leaving
                                  : status == status_conflict || status == status_not_found
                                      ? failure_kind::refused
                                      : failure_kind::failed;
        return attempt_failed{*attempt_of(order), kind};
    }
    return report_no_answer(order, true);
}

std::optional<backend_report> report_no_answer(const backend_order& order, bool delivered) {
    const failure_kind kind = delivered ? failure_kind::broken : failure_kind::unreachable;
    if (std::holds_alternative<start_stream>(order) || std::holds_alternative<run_request>(order)) {
        return attempt_failed{*attempt_of(order), kind};
    }
    if (const auto* resume = std::get_if<resume_stream>(&order)) {
        return attempt_failed{resume->key,
                              delivered ? failure_kind::broken : failure_kind::unknown_stream};
    }
    if (const auto* seal = std::get_if<seal_request>(&order)) {
        return seal_failed{seal->key};
    }
    if (const auto* poll = std::get_if<poll_status>(&order)) {
        return status_failed{poll->backend};
    }
    return std::nullopt;
}

codec_result<backend_report> parse_stream_event(const attempt_key& key, std::string_view text) {
    return read_json(std::string(text), [&](const json& event) -> backend_report {
        if (event.contains("refused")) {
            return attempt_failed{key, failure_kind::refused};
        }
        if (event.contains("finished")) {
            return stream_finished{key, event.at("prompt_tokens").get<token_count>(),
                                   event.at("completion_tokens").get<token_count>(),
                                   event.at("cached_tokens").get<token_count>()};
        }
        return stream_pieces{key, event.at("offset").get<std::uint64_t>(),
                             event.at("pieces").get<std::vector<std::string>>()};
    });
}

std::vector<std::string> event_stream_splitter::add(std::string_view bytes) {
    constexpr std::string_view separator = "\n\n";
    constexpr std::string_view prefix = "data: ";
    std::vector<std::string> events;
    if (overflowed_) {
        return events;
    }
    buffer_.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end = buffer_.find(separator, searched_); end != std::string::npos;
         end = buffer_.find(separator, begin)) {
        std::string_view event(buffer_.data() + begin, end - begin);
        if (event.starts_with(prefix)) {
            events.emplace_back(event.substr(prefix.size()));
        }
        begin = end + separator.size();
    }
    buffer_.erase(0, begin);
    // The separator may have begun with the last byte.
    searched_ = buffer_.empty() ? 0 : buffer_.size() - 1;
    if (buffer_.size() > max_event_bytes) {
        std::string().swap(buffer_);
        searched_ = 0;
        overflowed_ = true;
    }
    return events;
}

}  // namespace tallyfold::scheduler
