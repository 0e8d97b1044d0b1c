#pragma once
/// @file
/// Blocking HTTP client for command-line tools: one request at a time.

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace tallyfold::net {

struct blocking_request {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::chrono::milliseconds timeout{8000};
};

struct blocking_reply {
    /// HTTP status code; 0 when no response, or a malformed one, was received.
    int status = 0;
    std::string body;
    /// Error text when the status is 0.
    std::string failure;
};

blocking_reply fetch(const blocking_request& request);

}  // namespace tallyfold::net
