#include "tallyfold/program_api/transport/transport.hpp"

#include <asio.hpp>
#include <charconv>
#include <set>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/program_api/transport/peer_connection_shell.hpp"

namespace tallyfold::net {

namespace {

using asio::ip::tcp;
using logging::event_id;

/// Interval of the connection checks, and minimum delay between two connection attempts. Well below
/// the time after which a restarted node counts as silent.
constexpr auto redial_interval = std::chrono::milliseconds(100);
/// Time for sending the last messages when the process stops; peers detect the close in any case.
constexpr auto stop_grace = std::chrono::milliseconds(200);
constexpr std::size_t send_ring_capacity = 16384;

}  // namespace

class transport::engine final : public peer_connection_owner {
  public:
    engine(transport_settings settings, transport_handlers handlers)
        : settings_(std::move(settings)),
          handlers_(std::move(handlers)),
          keys_(settings_.key_file),
          outgoing_(send_ring_capacity, [this] { schedule_drain(); }),
          acceptor_(context_),
          timer_(context_) {}

    std::string start();
    void stop();
    void dial(const node_name& node, const std::string& address);
    void send(protocol::outbound_message message) { outgoing_.push(std::move(message)); }

  private:
    struct dialled_peer {
        std::string address;
        std::weak_ptr<peer_connection> current;
        bool connecting = false;
        std::chrono::steady_clock::time_point next_try{};
    };

    void schedule_drain();
    void drain_outgoing();
    void accept_next();
    /// @param expected name of the dialled peer; empty for an accepted connection
    std::shared_ptr<peer_connection> start_connection(tcp::socket socket, node_name expected);
    void on_timer();
    void redial(const node_name& node, dialled_peer& peer);
    void opened(const std::shared_ptr<peer_connection>& connection) override;
    void closed(const std::shared_ptr<peer_connection>& connection) override;
    bool deliver(const node_name& from, protocol::internal_message& message) override {
        return handlers_.on_message(from, message);
    }
    void event(event_id id, std::string fields) override {
        handlers_.on_event({id, std::move(fields)});
    }
    void report_lost(const node_name& node);

    transport_settings settings_;
    transport_handlers handlers_;
    cluster_keys keys_;
    asio::io_context context_;
    bounded_ring<protocol::outbound_message> outgoing_;
    std::atomic<bool> drain_scheduled_{false};
    tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    std::map<node_name, dialled_peer> peers_;
    std::set<std::shared_ptr<peer_connection>> connections_;
    /// Authenticated connections by node; a node may have two when both sides dial.
    std::multimap<node_name, std::shared_ptr<peer_connection>> authenticated_;
    /// Lost nodes that the handler has not accepted yet.
    std::set<node_name> unreported_losses_;
    std::thread thread_;
};

std::string transport::engine::start() {
    if (!settings_.listen.empty()) {
        const auto [host, port] = split_address(settings_.listen);
        std::error_code failure;
        const auto address = asio::ip::make_address(host, failure);
        if (failure) {
            return "listen address '" + settings_.listen + "' is not ip:port";
        }
        const tcp::endpoint endpoint(address, port);
        acceptor_.open(endpoint.protocol(), failure);
        acceptor_.set_option(tcp::acceptor::reuse_address(true), failure);
        acceptor_.bind(endpoint, failure);
        if (!failure) {
            acceptor_.listen(asio::socket_base::max_listen_connections, failure);
        }
        if (failure) {
            return "cannot listen on " + settings_.listen + ": " + failure.message();
        }
        accept_next();
    }
    on_timer();
    thread_ = std::thread([this] { context_.run(); });
    return {};
}

void transport::engine::stop() {
    if (!thread_.joinable()) {
        return;
    }
    asio::post(context_, [this] { drain_outgoing(); });
    std::this_thread::sleep_for(stop_grace);
    context_.stop();
    thread_.join();
}

void transport::engine::dial(const node_name& node, const std::string& address) {
    asio::post(context_, [this, node, address] {
        dialled_peer& peer = peers_[node];
        if (peer.address == address) {
            return;
        }
        peer.address = address;
        peer.next_try = {};
        if (auto connection = peer.current.lock()) {
            connection->close("address changed");
        }
    });
}

void transport::engine::schedule_drain() {
    if (!drain_scheduled_.exchange(true)) {
        asio::post(context_, [this] {
            drain_scheduled_ = false;
            drain_outgoing();
        });
    }
}

void transport::engine::drain_outgoing() {
    protocol::outbound_message outbound;
    while (outgoing_.try_pop(outbound)) {
        const auto connection = authenticated_.find(outbound.to);
        if (connection == authenticated_.end()) {
            // Reports the loss, so that requests that wait for a reply from the node are not left
            // pending.
            report_lost(outbound.to);
            continue;
        }
        const std::shared_ptr<peer_connection> target = connection->second;
        target->write(protocol::encode(outbound.message));
    }
}

void transport::engine::report_lost(const node_name& node) {
    if (!handlers_.on_lost(node)) {
        unreported_losses_.insert(node);
    }
}

void transport::engine::accept_next() {
    acceptor_.async_accept([this](std::error_code failure, tcp::socket socket) {
        if (!failure) {
            (void)start_connection(std::move(socket), {});
        }
        accept_next();
    });
}

std::shared_ptr<peer_connection> transport::engine::start_connection(tcp::socket socket,
                                                                     node_name expected) {
    auto connection = std::make_shared<peer_connection>(
        *this, std::move(socket), peer_handshake(keys_, settings_.node, std::move(expected)));
    connections_.insert(connection);
    connection->begin();
    return connection;
}

void transport::engine::redial(const node_name& node, dialled_peer& peer) {
    const auto [host, port] = split_address(peer.address);
    std::error_code failure;
    const auto address = asio::ip::make_address(host, failure);
    if (failure) {
        return;
    }
    peer.connecting = true;
    peer.next_try = std::chrono::steady_clock::now() + redial_interval;
    auto socket = std::make_shared<tcp::socket>(context_);
    const auto on_connected = [this, node, socket](std::error_code refused) {
        dialled_peer& dialled = peers_.at(node);
        dialled.connecting = false;
        if (refused) {
            return;
        }
        dialled.current = start_connection(std::move(*socket), node);
    };
    socket->async_connect(tcp::endpoint(address, port), on_connected);
}

void transport::engine::on_timer() {
    const auto now = std::chrono::steady_clock::now();
    for (auto& [node, peer] : peers_) {
        if (peer.current.expired() && !peer.connecting && now >= peer.next_try) {
            redial(node, peer);
        }
    }
    std::erase_if(unreported_losses_, handlers_.on_lost);
    const std::vector<std::shared_ptr<peer_connection>> connections(connections_.begin(),
                                                                    connections_.end());
    for (const std::shared_ptr<peer_connection>& connection : connections) {
        connection->check(now);
    }
    timer_.expires_after(redial_interval);
    timer_.async_wait([this](std::error_code failure) {
        if (!failure) {
            on_timer();
        }
    });
}

void transport::engine::opened(const std::shared_ptr<peer_connection>& connection) {
    authenticated_.emplace(connection->node(), connection);
    event(event_id::peer_connected, "peer=" + connection->node());
}

void transport::engine::closed(const std::shared_ptr<peer_connection>& connection) {
    connections_.erase(connection);
    const auto [begin, end] = authenticated_.equal_range(connection->node());
    for (auto candidate = begin; candidate != end; ++candidate) {
        if (candidate->second == connection) {
            authenticated_.erase(candidate);
            event(event_id::peer_lost,
                  "peer=" + connection->node() + " reason=\"" + connection->reason() + "\"");
            report_lost(connection->node());
            return;
        }
    }
}

transport::transport(transport_settings settings, transport_handlers handlers)
    : engine_(std::make_unique<engine>(std::move(settings), std::move(handlers))) {}
transport::~transport() {
    stop();
}
std::string transport::start() {
    return engine_->start();
}
void transport::stop() {
    engine_->stop();
}
void transport::dial(const node_name& node, const std::string& address) {
    engine_->dial(node, address);
}
void transport::send(protocol::outbound_message message) {
    engine_->send(std::move(message));
}

}  // namespace tallyfold::net
