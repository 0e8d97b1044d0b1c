#pragma once
/// @file
/// How a server's connection gives way to other clients.

#include <memory>

#include "tallyfold/plane/http/connection_shell.hpp"
#include "tallyfold/plane/resources/client_registry_shell.hpp"

namespace tallyfold::http {

/// @return a handler that doesn't keep the connection alive
inline resources::client_registry::eviction_handler eviction_handler_of(
    const connection_pointer& caller) {
    return [weak = std::weak_ptr(caller)](resources::eviction how, resources::client_stage stage) {
        const connection_pointer open = weak.lock();
        if (!open) {
            return true;
        }
        if (how == resources::eviction::refuse_request) {
            open->interrupt();
            return true;
        }
        const bool idle =
            stage == resources::client_stage::connected || stage == resources::client_stage::kept;
        if (idle && open->has_unread_bytes()) {
            // The message may be an ordinary client's, which would lose it.
            return false;
        }
        if (idle) {
            open->close();
        } else {
            open->abort();
        }
        return true;
    };
}

}  // namespace tallyfold::http
