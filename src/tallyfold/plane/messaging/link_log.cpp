#include "tallyfold/plane/messaging/link_log.hpp"

#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::messaging {

void log_link_state(const std::string& address, std::string_view role, bool up,
                    const std::string& reason) {
    const std::string peer = "peer=" + address + " role=" + std::string(role);
    if (up) {
        logging::write_event(logging::event_id::peer_connected, peer);
    } else {
        logging::write_event(logging::event_id::peer_lost, peer + " reason=\"" + reason + "\"");
    }
}

}  // namespace tallyfold::messaging
