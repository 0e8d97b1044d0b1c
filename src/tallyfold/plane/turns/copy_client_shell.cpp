#include "tallyfold/plane/turns/copy_client_shell.hpp"

#include <asio/post.hpp>
#include <memory>
#include <optional>

#include "tallyfold/base/common/steady_clock.hpp"

namespace tallyfold::turns {

copy_client::copy_client(asio::io_context& loop, store_fsm& store, std::function<void()> on_page)
    : loop_(loop), store_(store), on_page_(std::move(on_page)) {}

messaging::link_pointer copy_client::link_to(const store_member& source) {
    messaging::link_pointer& link = links_[source.address];
    if (link) {
        return link;
    }
    link = std::make_shared<messaging::peer_link>(loop_, source.address);
    link->start(
        [this](const messaging::peer_message& message) {
            if (const auto* reply = std::get_if<copy_reply>(&message)) {
                on_reply(*reply);
            }
        },
        [this](bool up, const std::string&) {
            // A lost connection is not logged: the timeout switches to the next source.
            if (up) {
                asio::post(loop_, [this] { request_page(); });
            }
        });
    return link;
}

void copy_client::on_reply(const copy_reply& reply) {
    store_.receive(reply);
    // A replaced disk may reply at the source's address; its reply does not end the wait.
    if (reply.store == source_) {
        timeout_.page_received(steady_now());
        page_received_ = true;
    }
    on_page_();
}

void copy_client::request_page() {
    const std::optional<copy_fetch> order = store_.next_copy();
    if (!order.has_value()) {
        links_.clear();
        copying_ = false;
        timeout_ = copy_timeout{};
        return;
    }
    copying_ = true;
    source_ = order->source.id;
    timeout_.page_requested(steady_now());
    link_to(order->source)->send(order->request);
}

void copy_client::on_page_written() {
    if (page_received_) {
        page_received_ = false;
        request_page();
    }
}

void copy_client::check_timeout() {
    if (copying_ && timeout_.expired(steady_now())) {
        store_.skip_copy_source();
        request_page();
    }
}

}  // namespace tallyfold::turns
