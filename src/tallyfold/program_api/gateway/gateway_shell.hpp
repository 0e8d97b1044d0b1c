#pragma once
/// @file
/// The gateway process: HTTP server, transport, and the logic thread between them.

#include <atomic>
#include <string>

#include "tallyfold/program_api/process/process_settings.hpp"

namespace tallyfold::gateway {

/// Runs until `stop` is set and all pending requests are finished. @return the exit code
int run_gateway(settings::gateway_process settings, const std::atomic<bool>& stop);

}  // namespace tallyfold::gateway
