#pragma once
/// @file
/// Authentication and roles of operators of the administration API.
///
/// A request is signed with three headers: the operator's name, the time, and the HMAC of time,
/// method, path and body under the operator's key. A replay within the time window does no harm:
/// reads change nothing, and changes carry an idempotency key.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tallyfold/program_api/transport/cluster_keys.hpp"

namespace tallyfold::net {

constexpr const char* operator_header = "X-Tallyfold-Operator";
constexpr const char* time_header = "X-Tallyfold-Time";
constexpr const char* proof_header = "X-Tallyfold-Proof";

/// Each role includes the permissions of the ones before it.
enum class operator_role : std::uint8_t { viewer, editor, administrator };

std::string_view to_string(operator_role role);

struct signed_request {
    std::string operator_name;
    /// Unix time in seconds, in decimal digits.
    std::string time;
    std::string proof;
    std::string method;
    std::string path;
    std::string body;
};

/// Hexadecimal HMAC of a request.
std::string prove_request(const std::string& key, const signed_request& request);

/// Reads the file for each request, so that a removed key is rejected at once.
class operator_keys {
  public:
    /// Maximum difference from the operator's clock, in seconds.
    static constexpr std::int64_t time_window_seconds = 300;

    /// @param path file with lines of "name role key"
    explicit operator_keys(std::string path) : path_(std::move(path)) {}
    /// @param now_seconds Unix time in seconds
    /// @return the operator's role, or the reason for the rejection
    [[nodiscard]] tl::expected<operator_role, key_error> check(const signed_request& request,
                                                               std::int64_t now_seconds) const;

  private:
    std::string path_;
};

}  // namespace tallyfold::net
