#pragma once
/// @file
/// Operators' keys and roles: who may use the administration API, and for what.
///
/// A request proves its operator with three headers: the operator's name, the time, and the
/// HMAC of time, method, path and body under the operator's key. A replay within the time window
/// does no harm: reads change nothing, and changes carry an identity of their own.

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

/// Each role may do what the ones before it may.
enum class operator_role : std::uint8_t { viewer, editor, administrator };

std::string_view to_string(operator_role role);

struct signed_request {
    std::string operator_name;
    /// Seconds since 1970 as decimal digits.
    std::string time;
    std::string proof;
    std::string method;
    std::string path;
    std::string body;
};

/// Hex HMAC that proves a request.
std::string prove_request(const std::string& key, const signed_request& request);

/// Reads the file anew for each request: a key that was taken out is refused at once.
class operator_keys {
  public:
    /// How far the operator's clock may differ, in seconds.
    static constexpr std::int64_t time_window_seconds = 300;

    /// @param path lines of "name role key"
    explicit operator_keys(std::string path) : path_(std::move(path)) {}
    /// @param now_seconds seconds since 1970
    /// @return the operator's role, or why the request is refused
    [[nodiscard]] tl::expected<operator_role, key_error> check(const signed_request& request,
                                                               std::int64_t now_seconds) const;

  private:
    std::string path_;
};

}  // namespace tallyfold::net
