#pragma once
/// @file
/// The forwarder program: takes callers' requests and relays them to back ends. Owns all parts of
/// the process; relies on the directory (configuration, members, list of back ends), on the stores
/// of turns and on the lender of rate-limit permits.

#include "tallyfold/plane/discovery/backend_list_codec.hpp"
#include "tallyfold/plane/forwarding/request_codec.hpp"
#include "tallyfold/plane/process/node_settings.hpp"

namespace tallyfold::forwarding {

/// Runs until a stop is asked for and what is under way has ended. @return the exit code
int run_forwarder(const settings::node_settings& settings, const request_codec& codec,
                  const discovery::backend_list_codec& lists);

}  // namespace tallyfold::forwarding
