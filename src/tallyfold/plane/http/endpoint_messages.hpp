#pragma once
/// @file
/// Requests and responses of a node's own HTTP interfaces. Pure.

#include <string>
#include <vector>

#include "tallyfold/plane/http/message.hpp"

namespace tallyfold::http {

struct endpoint_request {
    std::string method;
    /// Path and query string.
    std::string target;
    std::string body;
};

struct endpoint_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::vector<header_field> headers;
};

/// Renders the response with its Content-Length.
std::string render_response(const endpoint_response& response, bool keep_alive);

}  // namespace tallyfold::http
