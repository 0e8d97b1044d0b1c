#pragma once
/// @file
/// The control process. Internal messages, operators' requests and durable batches are handled on
/// its logic thread.

#include <atomic>

#include "tallyfold/program_api/process/process_settings.hpp"

namespace tallyfold::control {

/// Runs until `stop` is set or storage fails. @return the exit code
int run_control(settings::control_process settings, const std::atomic<bool>& stop);

}  // namespace tallyfold::control
