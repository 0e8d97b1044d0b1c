#pragma once
/// @file
/// The configuration in JSON, as the administration API and tallyfoldctl exchange it.

#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "tallyfold/program_api/configuration/configuration_state.hpp"

namespace tallyfold::configuration {

/// Why a text is not what was expected, in a sentence.
struct json_error {
    std::string reason;
};
template <class Value>
using json_result = tl::expected<Value, json_error>;

std::string render_view(const configuration_view& view);
json_result<configuration_view> parse_view(const std::string& text);

std::string render_change(const change_command& command);
/// Unknown fields are refused, so that a misspelt limit is not silently left out.
json_result<change_command> parse_change(const std::string& text);

std::string render_result(const change_result& result);
json_result<change_result> parse_result(const std::string& text);

std::optional<item_kind> parse_item_kind(std::string_view text);

/// Replaces one field of a body, "name=value"; used by tallyfoldctl's set commands.
json_result<item_body> with_field(const item_body& body, const std::string& name,
                                  const std::string& value);

}  // namespace tallyfold::configuration
