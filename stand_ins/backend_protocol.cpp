#include "stand_ins/backend_protocol.hpp"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "tallyfold/program_api/scheduler/backend_http_codec.hpp"

namespace tallyfold::stand_ins {

namespace {

using namespace scheduler;
using nlohmann::json;

template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

attempt_key key_field(const json& body) {
    const auto key = parse_attempt_key(body.at("key").get<std::string>());
    if (!key) {
        throw std::invalid_argument("field 'key' is not program/sequence/attempt");
    }
    return *key;
}

ownership_fence fence_field(const json& body) {
    const json& fence = body.at("fence");
    return {fence.at("shard").get<shard_id>(), fence.at("epoch").get<lease_epoch>()};
}

std::vector<journal::message> parse_messages(const json& list) {
    std::vector<journal::message> messages;
    for (const json& entry : list) {
        messages.push_back({entry.at("role").get<std::string>(),
                            entry.at("content").get<std::string>(),
                            entry.at("tokens").get<token_count>()});
    }
    return messages;
}

backend_order start_stream_order(const json& body) {
    start_stream order;
    order.key = key_field(body);
    order.fence = fence_field(body);
    order.model = body.at("model").get<std::string>();
    order.prompt =
        std::make_shared<const std::vector<journal::message>>(parse_messages(body.at("messages")));
    order.prefix = body.at("prefix").get<std::vector<std::string>>();
    order.max_tokens = body.at("max_tokens").get<token_count>();
    order.priority = body.at("priority").get<std::int32_t>();
    order.not_after = body.value("not_after", no_start_deadline);
    return order;
}

backend_order resume_stream_order(const json& body) {
    return resume_stream{{}, key_field(body), body.at("offset").get<std::uint64_t>()};
}

backend_order cancel_stream_order(const json& body) {
    return cancel_stream{{}, key_field(body)};
}

backend_order run_request_order(const json& body) {
    run_request order;
    order.key = key_field(body);
    order.fence = fence_field(body);
    order.kind = body.at("kind") == "tool" ? journal::call_kind::tool : journal::call_kind::app;
    order.operation = body.at("operation").get<std::string>();
    order.argument = body.at("argument").get<std::string>();
    order.repeatable = body.at("repeatable").get<bool>();
    order.not_after = body.value("not_after", no_start_deadline);
    return order;
}

backend_order seal_request_order(const json& body) {
    return seal_request{{}, key_field(body)};
}

backend_order retain_cache_order(const json& body) {
    return retain_cache{{},
                        body.at("program").get<std::string>(),
                        body.at("value").get<double>(),
                        std::chrono::milliseconds(body.at("lease_ms").get<int>())};
}

backend_order release_cache_order(const json& body) {
    return release_cache{{}, body.at("programs").get<std::vector<program_id>>()};
}

struct order_path {
    std::string_view path;
    backend_order (*read)(const json& body);
};

constexpr std::array<order_path, 7> order_paths{{
    {"/v1/streams", start_stream_order},
    {"/v1/streams/resume", resume_stream_order},
    {"/v1/streams/cancel", cancel_stream_order},
    {"/v1/requests", run_request_order},
    {"/v1/requests/seal", seal_request_order},
    {"/v1/cache/retain", retain_cache_order},
    {"/v1/cache/release", release_cache_order},
}};

}  // namespace

std::optional<attempt_key> parse_attempt_key(std::string_view text) {
    const std::size_t last = text.rfind('/');
    const std::size_t middle =
        last == std::string_view::npos || last == 0 ? last : text.rfind('/', last - 1);
    if (middle == std::string_view::npos || middle == 0 || last == 0) {
        return std::nullopt;
    }
    const auto sequence = parse_number<sequence_number>(text.substr(middle + 1, last - middle - 1));
    const auto attempt = parse_number<std::uint32_t>(text.substr(last + 1));
    if (!sequence || !attempt) {
        return std::nullopt;
    }
    return attempt_key{program_id(text.substr(0, middle)), *sequence, *attempt};
}

codec_result<backend_order> parse_order(const std::string& method, const std::string& path,
                                        const std::string& after, const std::string& body) {
    if (method == "GET" && path == "/v1/status") {
        return poll_status{{}, parse_number<std::uint64_t>(after).value_or(0)};
    }
    return read_json(body, [&](const json& parsed) -> backend_order {
        for (const order_path& known : order_paths) {
            if (known.path == path) {
                return known.read(parsed);
            }
        }
        throw std::invalid_argument("no such path");
    });
}

std::string render_stream_event(const stream_pieces& pieces) {
    return "data: " + dump_json({{"offset", pieces.offset}, {"pieces", pieces.pieces}}) + "\n\n";
}

std::string render_stream_event(const stream_finished& finished) {
    return "data: " +
           dump_json({{"finished", true},
                      {"prompt_tokens", finished.prompt_tokens},
                      {"completion_tokens", finished.completion_tokens},
                      {"cached_tokens", finished.cached_tokens}}) +
           "\n\n";
}

std::string render_stream_refused() {
    return "data: " + dump_json({{"refused", true}}) + "\n\n";
}

std::string render_status(const status_answered& status) {
    json events = json::array();
    for (const scheduler::cache_event& event : status.events) {
        events.push_back({{"number", event.number},
                          {"stored", event.stored},
                          {"hash", event.point.hash},
                          {"tokens", event.point.tokens}});
    }
    return dump_json({{"running", status.load.running},
                      {"waiting", status.load.waiting},
                      {"cache_fill", status.load.cache_fill},
                      {"leaving", status.load.leaving},
                      {"clock", status.clock},
                      {"events", std::move(events)}});
}

std::string render_members(const members_answered& members) {
    json list = json::array();
    for (const scheduling::backend_member& member : members.members) {
        list.push_back({{"kind", scheduler::to_string(member.kind)},
                        {"name", member.name},
                        {"address", member.address},
                        {"zone", member.zone},
                        {"model", member.variant},
                        {"slots", member.slots},
                        {"leaving", member.leaving}});
    }
    return dump_json({{"members", std::move(list)}});
}

}  // namespace tallyfold::stand_ins
