#pragma once
/// @file
/// One HTTP request at a time, for command-line tools.

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
    /// 0 when no answer came.
    int status = 0;
    std::string body;
    /// Why no answer came.
    std::string failure;
};

blocking_reply fetch(const blocking_request& request);

}  // namespace tallyfold::net
