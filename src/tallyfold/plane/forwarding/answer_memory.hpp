#pragma once
/// @file
/// Memory that the answer of one request holds, as a part of what its client has reserved. Owns
/// that part; relies on the client's session for the rest. Used on the loop thread only.

#include <cstdint>

#include "tallyfold/plane/resources/client_registry_shell.hpp"

namespace tallyfold::forwarding {

class answer_memory {
  public:
    /// Memory that every request has for its answer without a reservation, in bytes: a few reads,
    /// which hold the events of most streams.
    static constexpr std::uint64_t unreserved_bytes = 64U << 10U;

    /// @param client must outlive the object; has reserved the memory of the request by now
    explicit answer_memory(resources::client_session& client)
        : client_(client), request_bytes_(client.reserved()) {}

    /// Makes room for what the answer holds from now on. Reserves twice as much, since buffers
    /// double when they grow, and returns it once the answer holds little again.
    /// @param held memory of the answer in bytes, with the bytes that are about to be added
    /// @return false without a change when there is no room
    [[nodiscard]] bool reserve(std::uint64_t held) {
        if (held <= unreserved_bytes) {
            release();
            return true;
        }
        if (held <= reserved_) {
            return true;
        }
        const std::uint64_t larger = 2 * held;
        const bool granted = client_.reserve(request_bytes_ + larger);
        reserved_ = granted ? larger : reserved_;
        return granted;
    }

  private:
    void release() {
        if (reserved_ > 0) {
            client_.shrink(request_bytes_);
            reserved_ = 0;
        }
    }

    resources::client_session& client_;
    std::uint64_t request_bytes_;
    std::uint64_t reserved_ = 0;
};

}  // namespace tallyfold::forwarding
