#pragma once
/// @file
/// The forwarder program: accepts callers' requests and relays them to back ends. Depends on the
/// directory (configuration, members, list of back ends), the turn stores and the quota service.

#include "tallyfold/plane/discovery/backend_list_codec.hpp"
#include "tallyfold/plane/forwarding/request_codec.hpp"
#include "tallyfold/plane/process/node_settings.hpp"

namespace tallyfold::forwarding {

/// Runs until a shutdown is requested and the active requests have ended. @return the exit code
int run_forwarder(const settings::node_settings& settings, const request_codec& codec,
                  const discovery::backend_list_codec& lists);

}  // namespace tallyfold::forwarding
