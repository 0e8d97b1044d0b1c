#pragma once
/// @file
/// Processes of the stand-in back ends: an HTTP interface in front of the emulators' logic.

#include <atomic>
#include <string>

#include "stand_ins/engine_core.hpp"
#include "stand_ins/service_core.hpp"

namespace tallyfold::stand_ins {

struct engine_process {
    engine_settings core;
    /// "ip:port".
    std::string listen;
    std::string ledger_path;
    /// "ip:port" of the weight store; empty if models need not be fetched.
    std::string weight_store;
};

struct service_process {
    service_settings core;
    std::string listen;
    std::string ledger_path;
    /// File of the state that must survive a kill.
    std::string record_path;
};

/// Runs until `stop` is set, then refuses new work and finishes the work in progress.
/// @return the exit code of the process
int run_engine(const engine_process& settings, const std::atomic<bool>& stop);
int run_service(const service_process& settings, const std::atomic<bool>& stop);

}  // namespace tallyfold::stand_ins
