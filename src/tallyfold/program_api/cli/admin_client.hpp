#pragma once
/// @file
/// Client of the administration API, used by tallyfoldctl. Signs requests, finds the leader, and
/// resends requests that got no answer under the same command identity.

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/program_api/configuration/json_codec.hpp"

namespace tallyfold::cli {

enum class client_failure : std::uint8_t {
    /// No control node answered as the leader within the time limit.
    unreachable,
    denied,
    /// The control node rejected the request.
    refused,
};

struct client_error {
    client_failure failure = client_failure::unreachable;
    std::string detail;
};

template <class Value>
using client_result = tl::expected<Value, client_error>;

struct client_settings {
    /// Addresses ("ip:port") of the control nodes' HTTP servers.
    std::vector<std::string> control;
    std::string operator_name;
    std::string operator_key;
};

class admin_client {
  public:
    explicit admin_client(client_settings settings) : settings_(std::move(settings)) {}

    client_result<configuration::configuration_view> configuration() const;
    /// Retries until a control node answers; the command identity makes the retries idempotent.
    client_result<configuration::change_result> submit(
        const configuration::change_command& command) const;
    /// Sends a GET to the control nodes in turn and returns the first answer.
    client_result<std::string> get_any(const std::string& path) const;
    client_result<std::string> request(const std::string& address, const std::string& method,
                                       const std::string& path, const std::string& body) const;
    [[nodiscard]] const std::vector<std::string>& control() const { return settings_.control; }

  private:
    client_result<std::string> request_from_leader(const std::string& method,
                                                   const std::string& path,
                                                   const std::string& body) const;

    client_settings settings_;
};

}  // namespace tallyfold::cli
