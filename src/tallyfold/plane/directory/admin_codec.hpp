#pragma once
/// @file
/// Interface to the wire format of operators' calls and their answers, implemented outside the
/// directory.

#include <string>
#include <variant>

#include "tallyfold/plane/http/endpoint_server_shell.hpp"
#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::directory {

struct replace_call {
    routing::configuration parsed;
    std::string text;
};
struct get_configuration_call {};
struct retire_call {
    std::string node;
};
struct retire_state_call {
    std::string node;
};
struct evacuate_call {
    std::string zone;
    /// True to begin the evacuation, false to end it.
    bool evacuated = false;
};
/// A call that is unknown or cannot be parsed.
struct invalid_call {
    unsigned status = 400;
    std::string reason;
};

using operator_call = std::variant<replace_call, get_configuration_call, retire_call,
                                   retire_state_call, evacuate_call, invalid_call>;

enum class retire_progress : std::uint8_t { running, succeeded };

class admin_codec {
  public:
    virtual ~admin_codec() = default;
    /// True when the request replaces the configuration; does not parse the body.
    [[nodiscard]] virtual bool changes_configuration(
        const http::endpoint_request& request) const = 0;
    [[nodiscard]] virtual operator_call parse(const http::endpoint_request& request) const = 0;
    /// Response to an accepted change.
    [[nodiscard]] virtual http::endpoint_response accepted() const = 0;
    [[nodiscard]] virtual http::endpoint_response refused(unsigned status,
                                                          const std::string& reason) const = 0;
    /// Redirects the client to the same target at another node.
    /// @param operators_address "ip:port"; empty when unknown
    [[nodiscard]] virtual http::endpoint_response redirect(const std::string& operators_address,
                                                           const std::string& target) const = 0;
    /// Returns the configuration's text as the operator sent it.
    [[nodiscard]] virtual http::endpoint_response configuration(const std::string& text) const = 0;
    [[nodiscard]] virtual http::endpoint_response retirement(retire_progress progress) const = 0;
};

}  // namespace tallyfold::directory
