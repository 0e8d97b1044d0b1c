#pragma once
/// @file
/// The forwarder program: callers' connections on one side, back ends on the other.

#include "tallyfold/plane/discovery/backend_list_codec.hpp"
#include "tallyfold/plane/forwarding/request_codec.hpp"
#include "tallyfold/plane/process/node_settings.hpp"

namespace tallyfold::forwarding {

/// Runs until a stop is asked for and what is under way has ended. @return the exit code
int run_forwarder(const settings::node_settings& settings, const request_codec& codec,
                  const discovery::backend_list_codec& lists);

}  // namespace tallyfold::forwarding
