#include "tallyfold/plane/directory/directory_links_shell.hpp"

#include "tallyfold/plane/messaging/link_log.hpp"

namespace tallyfold::directory {

directory_links::directory_links(net::node_process& process,
                                 std::function<void(const node_report_answer&)> on_report_answer)
    : process_(process), on_report_answer_(std::move(on_report_answer)) {}

messaging::peer_link& directory_links::link_to(const node_name& address) {
    messaging::link_pointer& link = links_[address];
    if (!link) {
        link = std::make_shared<messaging::peer_link>(process_.loop(), address);
        link->start(
            [this](const messaging::peer_message& message) {
                if (const auto* answer = std::get_if<node_report_answer>(&message)) {
                    on_report_answer_(*answer);
                }
            },
            [address](bool up, const std::string& reason) {
                messaging::log_link(address, "directory", up, reason);
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
        link.send(messaging::replica_envelope{own_address, std::move(*replica)});
    } else {
        link.send(std::get<join_request>(message.body));
    }
}

void directory_links::send(const node_name& address, const node_report& report) {
    link_to(address).send(report);
}

}  // namespace tallyfold::directory
