#pragma once
/// @file
/// JSON encoding of the configuration for the administration API and tallyfoldctl.

#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "tallyfold/program_api/configuration/configuration_state.hpp"

namespace tallyfold::configuration {

/// Reason for which a JSON text was rejected.
struct json_error {
    std::string reason;
};
template <class Value>
using json_result = tl::expected<Value, json_error>;

std::string render_view(const configuration_view& view);
json_result<configuration_view> parse_view(const std::string& text);

std::string render_change(const change_command& command);
/// Rejects unknown fields, so that a misspelt limit is not silently ignored.
json_result<change_command> parse_change(const std::string& text);

std::string render_result(const change_result& result);
json_result<change_result> parse_result(const std::string& text);

std::optional<item_kind> parse_item_kind(std::string_view text);

/// Returns the body with one field replaced; used by tallyfoldctl's set commands.
json_result<item_body> with_field(const item_body& body, const std::string& name,
                                  const std::string& value);

}  // namespace tallyfold::configuration
