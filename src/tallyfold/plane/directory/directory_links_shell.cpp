#include "tallyfold/plane/directory/directory_links_shell.hpp"

#include <bit>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/directory/stored_formats.hpp"
#include "tallyfold/plane/messaging/link_log.hpp"

namespace tallyfold::directory {

directory_links::directory_links(net::node_process& process, message_handler on_message)
    : process_(process), on_message_(std::move(on_message)) {}

messaging::peer_link& directory_links::link_to(const node_name& address) {
    messaging::link_pointer& link = links_[address];
    if (!link) {
        link = std::make_shared<messaging::peer_link>(process_.loop(), address);
        link->start([this, address](
                        const messaging::peer_message& message) { on_message_(address, message); },
                    [address](bool up, const std::string& reason) {
                        messaging::log_link_state(address, "directory", up, reason);
                    });
    }
    return *link;
}

void directory_links::send(addressed_message message) {
    const node_name own_address = process_.settings().directory_address();
    if (message.to.empty() || message.to == own_address) {
        return;
    }
    messaging::peer_link& link = link_to(message.to);
    if (auto* replica = std::get_if<consensus::replica_message>(&message.body)) {
        if (link.peer_format() < protocol::format_version::v2 &&
            !convert_to_first_format(message.to, *replica)) {
            return;
        }
        link.send(messaging::replica_envelope{own_address, std::move(*replica)});
    } else {
        link.send(std::get<join_request>(message.body));
    }
}

bool directory_links::convert_to_first_format(const node_name& to,
                                              consensus::replica_message& message) {
    const auto converted = to_first_format(message);
    if (!converted && std::has_single_bit(++withheld_)) {
        logging::write_event(logging::event_id::message_withheld,
                             "peer=" + to + " format=1 withheld=" + std::to_string(withheld_) +
                                 " lacking=\"" + converted.error().unsupported_content + "\"");
    }
    return converted.has_value();
}

void directory_links::send(const node_name& address, const messaging::peer_message& message) {
    link_to(address).send(message);
}

protocol::format_version directory_links::peer_format(const node_name& address) const {
    const auto link = links_.find(address);
    return link == links_.end() ? protocol::oldest_format : link->second->peer_format();
}

}  // namespace tallyfold::directory
