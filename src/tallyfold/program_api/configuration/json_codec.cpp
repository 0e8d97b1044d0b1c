#include "tallyfold/program_api/configuration/json_codec.hpp"

#include <nlohmann/json.hpp>

namespace tallyfold::configuration {

namespace {

using nlohmann::json;

struct field_error {
    std::string reason;
};

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json render(const tenant_settings& body) {
    return {{"weight", body.weight}, {"queue_limit", body.queue_limit}};
}

json render(const class_settings& body) {
    return {{"priority", body.priority},
            {"budget_limit", body.budget_limit},
            {"turn_limit", body.turn_limit},
            {"queue_limit", body.queue_limit},
            {"queue_timeout_ms", body.queue_timeout_ms},
            {"tool_timeout_ms", body.tool_timeout_ms},
            {"idle_timeout_ms", body.idle_timeout_ms},
            {"retry_ratio", body.retry_ratio},
            {"policy", body.policy},
            {"model", body.model}};
}

json render(const policy_source& body) {
    return {{"text", body.text}};
}

json render(const backend_drain& body) {
    return {{"reason", body.reason}};
}

json render_body(const item_body& body) {
    return std::visit([](const auto& value) { return render(value); }, body);
}

template <class Number>
void read_number(const json& value, const std::string& name, Number& target) {
    const bool fits =
        std::is_floating_point_v<Number> ? value.is_number() : value.is_number_integer();
    if (!fits) {
        throw field_error{"'" + name + "' must be a number"};
    }
    if constexpr (std::is_unsigned_v<Number>) {
        if (!value.is_number_unsigned() ||
            value.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
            throw field_error{"'" + name + "' is out of range"};
        }
    }
    target = value.get<Number>();
}

void read_string(const json& value, const std::string& name, std::string& target) {
    if (!value.is_string()) {
        throw field_error{"'" + name + "' must be a text"};
    }
    target = value.get<std::string>();
}

bool assign(tenant_settings& body, const std::string& name, const json& value) {
    if (name == "weight") {
        read_number(value, name, body.weight);
    } else if (name == "queue_limit") {
        read_number(value, name, body.queue_limit);
    } else {
        return false;
    }
    return true;
}

bool assign(class_settings& body, const std::string& name, const json& value) {
    if (name == "priority") {
        read_number(value, name, body.priority);
    } else if (name == "budget_limit") {
        read_number(value, name, body.budget_limit);
    } else if (name == "turn_limit") {
        read_number(value, name, body.turn_limit);
    } else if (name == "queue_limit") {
        read_number(value, name, body.queue_limit);
    } else if (name == "queue_timeout_ms") {
        read_number(value, name, body.queue_timeout_ms);
    } else if (name == "tool_timeout_ms") {
        read_number(value, name, body.tool_timeout_ms);
    } else if (name == "idle_timeout_ms") {
        read_number(value, name, body.idle_timeout_ms);
    } else if (name == "retry_ratio") {
        read_number(value, name, body.retry_ratio);
    } else if (name == "policy") {
        read_string(value, name, body.policy);
    } else if (name == "model") {
        read_string(value, name, body.model);
    } else {
        return false;
    }
    return true;
}

bool assign(policy_source& body, const std::string& name, const json& value) {
    if (name != "text") {
        return false;
    }
    read_string(value, name, body.text);
    return true;
}

bool assign(backend_drain& body, const std::string& name, const json& value) {
    if (name != "reason") {
        return false;
    }
    read_string(value, name, body.reason);
    return true;
}

item_body empty_body(item_kind kind) {
    switch (kind) {
        case item_kind::tenant:
            return tenant_settings{};
        case item_kind::program_class:
            return class_settings{};
        case item_kind::policy:
            return policy_source{};
        case item_kind::drain:
            return backend_drain{};
    }
    return tenant_settings{};
}

void assign_field(item_body& body, const std::string& name, const json& value) {
    const bool known =
        std::visit([&](auto& settings) { return assign(settings, name, value); }, body);
    if (!known) {
        throw field_error{"unknown field '" + name + "'"};
    }
}

item_body parse_body(item_kind kind, const json& fields) {
    item_body body = empty_body(kind);
    for (const auto& [name, value] : fields.items()) {
        assign_field(body, name, value);
    }
    return body;
}

item_kind kind_field(const json& object) {
    const auto kind = parse_item_kind(object.at("kind").get<std::string>());
    if (!kind) {
        throw field_error{"'kind' must be tenant, class, policy or drain"};
    }
    return *kind;
}

template <class Read>
auto parse_json(const std::string& text, Read read) -> json_result<decltype(read(json{}))> {
    try {
        return read(json::parse(text));
    } catch (const json::exception& failure) {
        return tl::unexpected(json_error{failure.what()});
    } catch (const field_error& failure) {
        return tl::unexpected(json_error{failure.reason});
    }
}

}  // namespace

std::optional<item_kind> parse_item_kind(std::string_view text) {
    for (const item_kind kind :
         {item_kind::tenant, item_kind::program_class, item_kind::policy, item_kind::drain}) {
        if (to_string(kind) == text) {
            return kind;
        }
    }
    return std::nullopt;
}

std::string render_view(const configuration_view& view) {
    json items = json::array();
    for (const auto& [key, entry] : view.items()) {
        items.push_back({{"kind", to_string(key.kind)},
                         {"name", key.name},
                         {"version", entry.version},
                         {"changed_at", entry.changed_at},
                         {"removed", entry.removed},
                         {"settings", render_body(entry.body)}});
    }
    return dump({{"version", view.version()}, {"items", std::move(items)}});
}

json_result<configuration_view> parse_view(const std::string& text) {
    return parse_json(text, [](const json& parsed) {
        configuration_delta all;
        all.version = parsed.at("version").get<configuration_version>();
        for (const json& entry : parsed.at("items")) {
            item added;
            added.key = {kind_field(entry), entry.at("name").get<std::string>()};
            added.version = entry.at("version").get<std::uint64_t>();
            added.changed_at = entry.at("changed_at").get<configuration_version>();
            added.removed = entry.at("removed").get<bool>();
            added.body = parse_body(added.key.kind, entry.at("settings"));
            all.items.push_back(std::move(added));
        }
        configuration_view view;
        (void)view.advance(all);
        return view;
    });
}

std::string render_change(const change_command& command) {
    return dump({{"command_identity", command.command_identity},
                 {"kind", to_string(command.key.kind)},
                 {"name", command.key.name},
                 {"expected_version", command.expected_version},
                 {"remove", command.remove},
                 {"settings", render_body(command.body)}});
}

json_result<change_command> parse_change(const std::string& text) {
    return parse_json(text, [](const json& parsed) {
        change_command command;
        command.command_identity = parsed.at("command_identity").get<std::string>();
        command.key = {kind_field(parsed), parsed.at("name").get<std::string>()};
        command.expected_version = parsed.at("expected_version").get<std::uint64_t>();
        command.remove = parsed.value("remove", false);
        command.body = parse_body(command.key.kind, parsed.value("settings", json::object()));
        return command;
    });
}

std::string render_result(const change_result& result) {
    return dump({{"status", to_string(result.status)},
                 {"item_version", result.item_version},
                 {"version", result.version},
                 {"detail", result.detail}});
}

json_result<change_result> parse_result(const std::string& text) {
    return parse_json(text, [](const json& parsed) {
        change_result result;
        const auto status = parsed.at("status").get<std::string>();
        for (const change_status each :
             {change_status::accepted, change_status::version_conflict, change_status::invalid}) {
            if (to_string(each) == status) {
                result.status = each;
            }
        }
        result.item_version = parsed.at("item_version").get<std::uint64_t>();
        result.version = parsed.at("version").get<configuration_version>();
        result.detail = parsed.at("detail").get<std::string>();
        return result;
    });
}

json_result<item_body> with_field(const item_body& body, const std::string& name,
                                  const std::string& value) {
    // Values other than JSON numbers are strings.
    json parsed = json::parse(value, nullptr, false);
    if (!parsed.is_number()) {
        parsed = value;
    }
    try {
        item_body changed = body;
        assign_field(changed, name, parsed);
        return changed;
    } catch (const field_error& failure) {
        return tl::unexpected(json_error{failure.reason});
    }
}

}  // namespace tallyfold::configuration
