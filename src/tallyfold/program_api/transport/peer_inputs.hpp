#pragma once
/// @file
/// Ring that passes messages from the transport's thread to a logic thread.

#include <functional>
#include <optional>

#include "tallyfold/base/common/bounded_ring.hpp"
#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/program_api/process/logic_thread.hpp"
#include "tallyfold/program_api/transport/transport.hpp"

namespace tallyfold::net {

struct peer_input {
    node_name from;
    /// Empty when the connection was lost.
    std::optional<protocol::internal_message> message;
};

class peer_input_ring {
  public:
    explicit peer_input_ring(std::function<void()> notify) : ring_(capacity, std::move(notify)) {}

    /// Transport handlers that feed this ring; a full ring causes back-pressure to the peer.
    transport_handlers handlers() {
        transport_handlers handlers;
        handlers.on_message = [this](const node_name& from, protocol::internal_message& message) {
            peer_input input{from, std::move(message)};
            if (ring_.try_push(input)) {
                return true;
            }
            message = std::move(*input.message);
            return false;
        };
        handlers.on_lost = [this](const node_name& node) {
            peer_input input{node, std::nullopt};
            return ring_.try_push(input);
        };
        handlers.on_event = [](const logging::event_record& record) {
            logging::write_event(record);
        };
        return handlers;
    }

    template <class Use>
    void drain(Use&& use) {
        drain_ring(ring_, std::forward<Use>(use));
    }

  private:
    static constexpr std::size_t capacity = 8192;
    bounded_ring<peer_input> ring_;
};

}  // namespace tallyfold::net
