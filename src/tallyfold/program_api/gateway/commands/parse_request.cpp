#include "tallyfold/program_api/gateway/commands/parse_request.hpp"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/program_api/journal/shard_state.hpp"

namespace tallyfold::gateway {

namespace {

using journal::answer_code;
using journal::outcome;
using nlohmann::json;

constexpr std::size_t max_identity_length = 128;
constexpr std::size_t max_name_length = 128;
constexpr std::size_t characters_per_token = 4;
constexpr token_count max_tokens = 1'000'000;
constexpr std::string_view programs_path = "/v1/programs";

/// Missing or invalid field; parse_request() turns it into an outcome.
struct field_error {
    std::string text;
};

outcome malformed(std::string detail) {
    outcome result;
    result.code = answer_code::malformed;
    result.detail = std::move(detail);
    return result;
}

std::string text_field(const json& body, const char* name, std::size_t max_length) {
    const auto found = body.find(name);
    if (found == body.end() || !found->is_string()) {
        throw field_error{std::string("field '") + name + "' must be a text"};
    }
    std::string value = found->get<std::string>();
    if (value.empty() || value.size() > max_length) {
        throw field_error{std::string("field '") + name + "' must have 1 to " +
                          std::to_string(max_length) + " characters"};
    }
    return value;
}

std::uint64_t number_field(const json& body, const char* name, std::uint64_t max_value) {
    const auto found = body.find(name);
    if (found == body.end() || !found->is_number_unsigned() ||
        found->get<std::uint64_t>() > max_value) {
        throw field_error{std::string("field '") + name + "' must be a whole number from 0 to " +
                          std::to_string(max_value)};
    }
    return found->get<std::uint64_t>();
}

bool flag_field(const json& body, const char* name, bool fallback) {
    const auto found = body.find(name);
    if (found == body.end()) {
        return fallback;
    }
    if (!found->is_boolean()) {
        throw field_error{std::string("field '") + name + "' must be true or false"};
    }
    return found->get<bool>();
}

std::string identity_field(const json& body, const std::string& header) {
    if (body.contains("request_identity")) {
        return text_field(body, "request_identity", max_identity_length);
    }
    if (header.empty() || header.size() > max_identity_length) {
        throw field_error{
            "give 'request_identity' or the header Idempotency-Key, 1 to 128 characters"};
    }
    return header;
}

sequence_number sequence_field(const json& body) {
    const auto value = number_field(body, "sequence", UINT32_MAX);
    if (value == 0) {
        throw field_error{"field 'sequence' counts from 1"};
    }
    return static_cast<sequence_number>(value);
}

std::uint32_t submission_field(const json& body) {
    if (!body.contains("submission")) {
        return 1;
    }
    const auto value = number_field(body, "submission", UINT32_MAX);
    if (value == 0) {
        throw field_error{"field 'submission' counts from 1"};
    }
    return static_cast<std::uint32_t>(value);
}

std::string hex(std::uint64_t value) {
    std::array<char, 16> digits{};
    constexpr std::string_view alphabet = "0123456789abcdef";
    for (auto digit = digits.rbegin(); digit != digits.rend(); ++digit) {
        *digit = alphabet[value % alphabet.size()];
        value /= alphabet.size();
    }
    return {digits.data(), digits.size()};
}

journal::message parse_message(const json& entry) {
    if (!entry.is_object()) {
        throw field_error{"each of 'messages' must be an object"};
    }
    journal::message message;
    message.role = text_field(entry, "role", max_name_length);
    const auto content = entry.find("content");
    if (content == entry.end() || !content->is_string()) {
        throw field_error{"each of 'messages' must have a text 'content'"};
    }
    message.content = content->get<std::string>();
    message.tokens = entry.contains("tokens") ? number_field(entry, "tokens", max_tokens)
                                              : estimate_tokens(message.content);
    return message;
}

caller_request parse_open(const json& body, const std::string& key) {
    const std::string identity = identity_field(body, key);
    protocol::open_call open;
    open.program.tenant = text_field(body, "tenant", max_name_length);
    open.program.program_class = text_field(body, "class", max_name_length);
    open.program.request_identity = identity;
    if (body.contains("parent")) {
        const program_id parent = text_field(body, "parent", max_name_length);
        open.program.root = journal::root_program_id(parent);
        open.program.id = identifier_of_child(parent, identity);
    } else {
        open.program.budget = number_field(body, "budget", UINT64_MAX);
        open.program.id = identifier_of_program(open.program.tenant, identity);
        open.program.root = open.program.id;
    }
    return {open, false, {}};
}

/// Hash of the request's contents; a resend with other contents has a different one.
std::uint64_t hash_call(const protocol::program_call& call) {
    return stable_hash(protocol::encode(call));
}

caller_request parse_completion(const json& body, const std::string& key) {
    caller_request request;
    protocol::program_call call;
    call.program = text_field(body, "program", max_name_length);
    call.sequence = sequence_field(body);
    call.request_identity = identity_field(body, key);
    call.kind = journal::call_kind::model;
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        throw field_error{"field 'messages' must be a list of at least one message"};
    }
    for (const json& entry : *messages) {
        call.messages.push_back(parse_message(entry));
    }
    call.max_tokens = number_field(body, "max_tokens", max_tokens);
    call.request_hash = hash_call(call);
    call.submission = submission_field(body);
    call.unanswered = flag_field(body, "unanswered", false);
    request.stream = flag_field(body, "stream", false);
    request.model = body.value("model", std::string{});
    request.call = std::move(call);
    return request;
}

caller_request parse_service_call(const json& body, const std::string& key,
                                  const program_id& program, journal::call_kind kind) {
    protocol::program_call call;
    call.program = program;
    call.sequence = sequence_field(body);
    call.request_identity = identity_field(body, key);
    call.kind = kind;
    call.operation = text_field(body, "operation", max_name_length);
    const auto argument = body.find("argument");
    if (argument != body.end()) {
        call.argument = argument->is_string() ? argument->get<std::string>() : argument->dump();
    }
    // Requests that are not declared repeatable must not be retried.
    call.repeatable = flag_field(body, "repeatable", false);
    call.request_hash = hash_call(call);
    call.submission = submission_field(body);
    call.unanswered = flag_field(body, "unanswered", false);
    return {std::move(call), false, {}};
}

tl::expected<caller_request, outcome> parse_program_path(const std::string& method,
                                                         const std::string& path, const json& body,
                                                         const std::string& key) {
    const std::string rest = path.substr(programs_path.size() + 1);
    const std::size_t slash = rest.find('/');
    const program_id program = rest.substr(0, slash);
    const std::string action = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (program.empty() || program.size() > max_name_length) {
        return tl::unexpected(malformed("the path names no program"));
    }
    if (method == "GET" && action.empty()) {
        return caller_request{protocol::inspect_call{program}, false, {}};
    }
    if (method == "POST" && action == "close") {
        return caller_request{protocol::close_call{program}, false, {}};
    }
    if (method == "POST" && action == "requests") {
        return parse_service_call(body, key, program, journal::call_kind::app);
    }
    if (method == "POST" && action == "tools") {
        return parse_service_call(body, key, program, journal::call_kind::tool);
    }
    return tl::unexpected(malformed("no such path or method; see docs/API.md"));
}

}  // namespace

token_count estimate_tokens(const std::string& text) {
    return text.size() / characters_per_token + 1;
}

program_id identifier_of_program(const std::string& tenant, const std::string& request_identity) {
    const std::uint64_t tenant_hash = stable_hash(tenant);
    program_id identifier(1, 'p');
    identifier += hex(stable_hash(request_identity, tenant_hash));
    identifier += hex(combine_hash(tenant_hash, stable_hash(request_identity)));
    return identifier;
}

program_id identifier_of_child(const program_id& parent, const std::string& request_identity) {
    return parent + "." + hex(stable_hash(request_identity, stable_hash(parent)));
}

tl::expected<caller_request, outcome> parse_request(const std::string& method,
                                                    const std::string& path,
                                                    const std::string& body,
                                                    const std::string& idempotency_key) {
    try {
        const json parsed = body.empty() ? json::object() : json::parse(body);
        if (!parsed.is_object()) {
            return tl::unexpected(malformed("the body must be a JSON object"));
        }
        if (method == "POST" && path == programs_path) {
            return parse_open(parsed, idempotency_key);
        }
        if (method == "POST" && path == "/v1/chat/completions") {
            return parse_completion(parsed, idempotency_key);
        }
        if (path.starts_with(std::string(programs_path) + "/")) {
            return parse_program_path(method, path, parsed, idempotency_key);
        }
        return tl::unexpected(malformed("no such path or method; see docs/API.md"));
    } catch (const json::exception& failure) {
        return tl::unexpected(malformed(std::string("the body is not valid: ") + failure.what()));
    } catch (const field_error& failure) {
        return tl::unexpected(malformed(failure.text));
    }
}

}  // namespace tallyfold::gateway
