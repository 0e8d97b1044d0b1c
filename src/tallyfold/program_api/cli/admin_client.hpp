#pragma once
/// @file
/// The administration API as tallyfoldctl uses it: signs requests, finds the leader, repeats
/// what got no answer under the same identity.

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/program_api/configuration/json_codec.hpp"

namespace tallyfold::cli {

enum class client_failure : std::uint8_t {
    /// No control node answered as the leader within the time.
    unreachable,
    denied,
    /// The request was understood and refused.
    refused,
};

struct client_error {
    client_failure failure = client_failure::unreachable;
    std::string detail;
};

template <class Value>
using client_result = tl::expected<Value, client_error>;

struct client_settings {
    /// "ip:port" of the control nodes' HTTP interfaces.
    std::vector<std::string> control;
    std::string operator_name;
    std::string operator_key;
};

class admin_client {
  public:
    explicit admin_client(client_settings settings) : settings_(std::move(settings)) {}

    client_result<configuration::configuration_view> configuration() const;
    /// Submits until an answer comes; the command's identity makes that safe.
    client_result<configuration::change_result> submit(
        const configuration::change_command& command) const;
    /// The first answer of any control node.
    client_result<std::string> get_any(const std::string& path) const;
    client_result<std::string> request(const std::string& address, const std::string& method,
                                       const std::string& path, const std::string& body) const;
    [[nodiscard]] const std::vector<std::string>& control() const { return settings_.control; }

  private:
    client_result<std::string> ask_leader(const std::string& method, const std::string& path,
                                          const std::string& body) const;

    client_settings settings_;
};

}  // namespace tallyfold::cli
