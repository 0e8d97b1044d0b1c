#pragma once
/// @file
/// How operators' calls and their answers look on the wire is not the directory's matter: it sees
/// them through this interface.

#include <string>
#include <variant>

#include "tallyfold/plane/http/endpoint_server_shell.hpp"
#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::directory {

struct replace_call {
    routing::configuration parsed;
    std::string text;
};
struct describe_call {};
struct retire_call {
    std::string node;
};
struct retire_state_call {
    std::string node;
};
/// A call that can't be carried out, whatever the state: no such call, or it can't be read.
struct invalid_call {
    unsigned status = 400;
    std::string reason;
};

using operator_call =
    std::variant<replace_call, describe_call, retire_call, retire_state_call, invalid_call>;

enum class retire_progress : std::uint8_t { running, succeeded };

class admin_codec {
  public:
    virtual ~admin_codec() = default;
    /// True when the call sends a configuration, told without reading it.
    [[nodiscard]] virtual bool changes_configuration(
        const http::endpoint_request& request) const = 0;
    [[nodiscard]] virtual operator_call parse(const http::endpoint_request& request) const = 0;
    /// The change is taken.
    [[nodiscard]] virtual http::endpoint_response accepted() const = 0;
    [[nodiscard]] virtual http::endpoint_response refused(unsigned status,
                                                          const std::string& reason) const = 0;
    /// Asks to come again elsewhere. @param operators_address "ip:port"; empty when unknown
    [[nodiscard]] virtual http::endpoint_response redirect(const std::string& operators_address,
                                                           const std::string& target) const = 0;
    /// The configuration as its operator sent it.
    [[nodiscard]] virtual http::endpoint_response configuration(const std::string& text) const = 0;
    [[nodiscard]] virtual http::endpoint_response retirement(retire_progress progress) const = 0;
};

}  // namespace tallyfold::directory
