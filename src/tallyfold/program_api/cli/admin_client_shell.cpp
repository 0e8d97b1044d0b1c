#include <chrono>
#include <ctime>
#include <nlohmann/json.hpp>
#include <thread>

#include "tallyfold/program_api/cli/admin_client.hpp"
#include "tallyfold/program_api/http/blocking_http.hpp"
#include "tallyfold/program_api/transport/operator_keys.hpp"

namespace tallyfold::cli {

namespace {

constexpr int max_rounds = 20;
constexpr auto round_pause = std::chrono::milliseconds(250);
constexpr int status_ok = 200;
constexpr int status_bad = 400;
constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_conflict = 409;

std::string error_message(const std::string& body) {
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_object() && parsed.contains("error")) {
        return parsed.at("error").value("message", body);
    }
    return body;
}

}  // namespace

client_result<std::string> admin_client::request(const std::string& address,
                                                 const std::string& method, const std::string& path,
                                                 const std::string& body) const {
    net::signed_request signed_fields;
    signed_fields.operator_name = settings_.operator_name;
    signed_fields.time = std::to_string(std::time(nullptr));
    signed_fields.method = method;
    signed_fields.path = path;
    signed_fields.body = body;
    net::blocking_request request;
    request.method = method;
    request.url = "http://" + address + path;
    request.body = body;
    request.headers = {
        {net::operator_header, signed_fields.operator_name},
        {net::time_header, signed_fields.time},
        {net::proof_header, net::prove_request(settings_.operator_key, signed_fields)}};
    const net::blocking_reply reply = net::fetch(request);
    if (reply.status == 0) {
        return tl::unexpected(
            client_error{client_failure::unreachable, address + ": " + reply.failure});
    }
    if (reply.status == status_unauthorized || reply.status == status_forbidden) {
        return tl::unexpected(client_error{client_failure::denied, error_message(reply.body)});
    }
    const bool result_of_change = path == "/v1/changes" && reply.body.starts_with("{\"detail\"");
    const bool refused = reply.status == status_bad || reply.status == status_conflict;
    if (reply.status == status_ok || (refused && result_of_change)) {
        return reply.body;
    }
    return tl::unexpected(
        client_error{refused ? client_failure::refused : client_failure::unreachable,
                     error_message(reply.body)});
}

client_result<std::string> admin_client::get_any(const std::string& path) const {
    client_result<std::string> last = tl::unexpected(
        client_error{client_failure::unreachable, "no control node address was given"});
    for (const std::string& address : settings_.control) {
        last = request(address, "GET", path, {});
        if (last) {
            break;
        }
    }
    return last;
}

client_result<std::string> admin_client::request_from_leader(const std::string& method,
                                                             const std::string& path,
                                                             const std::string& body) const {
    client_result<std::string> last = tl::unexpected(
        client_error{client_failure::unreachable, "no control node address was given"});
    for (int round = 0; round < max_rounds; ++round) {
        for (const std::string& address : settings_.control) {
            last = request(address, method, path, body);
            if (last || last.error().failure != client_failure::unreachable) {
                return last;
            }
        }
        std::this_thread::sleep_for(round_pause);
    }
    return last;
}

client_result<configuration::configuration_view> admin_client::configuration() const {
    const auto body = request_from_leader("GET", "/v1/configuration", {});
    if (!body) {
        return tl::unexpected(body.error());
    }
    auto view = configuration::parse_view(*body);
    if (!view) {
        return tl::unexpected(client_error{client_failure::refused, view.error().reason});
    }
    return std::move(*view);
}

client_result<configuration::change_result> admin_client::submit(
    const configuration::change_command& command) const {
    const auto body =
        request_from_leader("POST", "/v1/changes", configuration::render_change(command));
    if (!body) {
        return tl::unexpected(body.error());
    }
    auto result = configuration::parse_result(*body);
    if (!result) {
        return tl::unexpected(client_error{client_failure::refused, result.error().reason});
    }
    return std::move(*result);
}

}  // namespace tallyfold::cli
