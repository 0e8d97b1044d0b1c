#pragma once
/// @file
/// A relay for TCP links between processes: it adds a one-way delay, and it can cut a link in
/// silence, one way or both, or let it pass again.

#include <atomic>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::stand_ins {

struct relay_route {
    std::string name;
    /// "ip:port" to accept on, and to pass on to.
    std::string listen;
    std::string target;
    /// One way.
    duration delay{};
};

struct relay_process {
    /// POST /v1/cut and /v1/heal with the body "name [in|out]"; GET /healthz.
    std::string http_listen;
    std::vector<relay_route> routes;
};

int run_relay(const relay_process& settings, const std::atomic<bool>& stop);

}  // namespace tallyfold::stand_ins
