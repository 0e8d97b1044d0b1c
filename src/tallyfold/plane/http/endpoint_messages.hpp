#pragma once
/// @file
/// Requests and answers of a node's own interfaces. Pure.

#include <string>
#include <vector>

#include "tallyfold/plane/http/message.hpp"

namespace tallyfold::http {

struct endpoint_request {
    std::string method;
    /// Path and query.
    std::string target;
    std::string body;
};

struct endpoint_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
    std::vector<header_field> headers;
};

/// The answer as bytes, with its length.
std::string render_response(const endpoint_response& response, bool keep_alive);

}  // namespace tallyfold::http
