#pragma once
/// @file
/// TCP relay between processes. Adds a delay per direction, and can block and unblock a link in
/// one or both directions without closing its connections.

#include <atomic>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::stand_ins {

struct relay_route {
    std::string name;
    /// "ip:port" to listen on, and "ip:port" to forward to.
    std::string listen;
    std::string target;
    /// Delay per direction.
    duration delay{};
};

struct relay_process {
    /// Address for POST /v1/cut and /v1/heal with the body "name [in|out]", and GET /healthz.
    std::string http_listen;
    std::vector<relay_route> routes;
};

int run_relay(const relay_process& settings, const std::atomic<bool>& stop);

}  // namespace tallyfold::stand_ins
