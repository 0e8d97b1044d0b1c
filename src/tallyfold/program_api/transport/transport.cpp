#include "tallyfold/program_api/transport/transport.hpp"

#include <array>
#include <asio.hpp>
#include <charconv>
#include <deque>
#include <set>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/program_api/transport/peer_handshake.hpp"

namespace tallyfold::net {

namespace {

using asio::ip::tcp;
using logging::event_id;

constexpr std::uint32_t largest_frame = 64U << 20U;
/// Before the handshake is done a peer may not make us read more than this.
constexpr std::uint32_t largest_handshake_frame = 4096;
constexpr std::size_t largest_backlog_bytes = 64U << 20U;
constexpr auto ping_interval = std::chrono::milliseconds(200);
constexpr auto silence_limit = std::chrono::milliseconds(1200);
constexpr auto redial_interval = std::chrono::milliseconds(100);
constexpr auto delivery_retry = std::chrono::milliseconds(2);
constexpr std::size_t send_ring_capacity = 16384;

std::string frame(std::string_view payload) {
    const auto length = static_cast<std::uint32_t>(payload.size());
    std::string bytes(sizeof(length), '\0');
    std::memcpy(bytes.data(), &length, sizeof(length));
    bytes.append(payload);
    return bytes;
}

}  // namespace

class transport::engine {
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
    class connection;
    struct dialled_peer {
        std::string address;
        std::weak_ptr<connection> current;
        bool connecting = false;
        std::chrono::steady_clock::time_point next_try{};
    };

    void schedule_drain();
    void drain_outgoing();
    void accept_next();
    void on_timer();
    void redial(const node_name& node, dialled_peer& peer);
    void opened(const std::shared_ptr<connection>& link);
    void closed(const std::shared_ptr<connection>& link);
    void tell_lost(const node_name& node);
    void event(event_id id, std::string fields) { handlers_.on_event({id, std::move(fields)}); }

    transport_settings settings_;
    transport_handlers handlers_;
    cluster_keys keys_;
    asio::io_context context_;
    bounded_ring<protocol::outbound_message> outgoing_;
    std::atomic<bool> drain_scheduled_{false};
    tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    std::map<node_name, dialled_peer> peers_;
    std::set<std::shared_ptr<connection>> links_;
    /// Open connections by node; a node may have two when both sides dial.
    std::multimap<node_name, std::shared_ptr<connection>> open_;
    /// Losses that the handler could not take yet.
    std::set<node_name> untold_lost_;
    std::thread thread_;
};

class transport::engine::connection : public std::enable_shared_from_this<connection> {
  public:
    /// @param expected the peer that was dialled; empty for one that was accepted
    connection(engine& owner, tcp::socket socket, node_name expected)
        : owner_(owner),
          socket_(std::move(socket)),
          handshake_(owner.keys_, owner.settings_.node, std::move(expected)),
          retry_timer_(owner.context_) {
        heard_ = sent_ = std::chrono::steady_clock::now();
    }

    void begin() {
        std::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        if (const auto first = handshake_.begin()) {
            write(frame(*first));
        }
        read_length();
    }

    void write(std::string bytes) {
        backlog_bytes_ += bytes.size();
        if (backlog_bytes_ > largest_backlog_bytes) {
            // The peer does not keep up. Closing tells both sides, dropping would tell nobody.
            close("backlog");
            return;
        }
        backlog_.push_back(std::move(bytes));
        if (backlog_.size() == 1) {
            write_next();
        }
    }

    void check(std::chrono::steady_clock::time_point now) {
        if (now - heard_ > silence_limit) {
            close("silence");
            return;
        }
        if (ready_ && now - sent_ > ping_interval && backlog_.empty()) {
            write(frame({}));
        }
    }

    void close(std::string_view reason) {
        if (closed_) {
            return;
        }
        closed_ = true;
        reason_ = reason;
        std::error_code ignored;
        socket_.close(ignored);
        retry_timer_.cancel();
        owner_.closed(shared_from_this());
    }

    [[nodiscard]] const node_name& node() const { return handshake_.peer(); }
    [[nodiscard]] bool ready() const { return ready_; }
    [[nodiscard]] const std::string& reason() const { return reason_; }

  private:
    void write_next() {
        auto self = shared_from_this();
        asio::async_write(socket_, asio::buffer(backlog_.front()),
                          [this, self](std::error_code failure, std::size_t) {
                              if (failure || closed_) {
                                  close("write failed");
                                  return;
                              }
                              sent_ = std::chrono::steady_clock::now();
                              backlog_bytes_ -= backlog_.front().size();
                              backlog_.pop_front();
                              if (!backlog_.empty()) {
                                  write_next();
                              }
                          });
    }

    void read_length() {
        auto self = shared_from_this();
        asio::async_read(socket_, asio::buffer(length_bytes_),
                         [this, self](std::error_code failure, std::size_t) {
                             if (failure || closed_) {
                                 close("read failed");
                                 return;
                             }
                             heard_ = std::chrono::steady_clock::now();
                             std::uint32_t length = 0;
                             std::memcpy(&length, length_bytes_.data(), sizeof(length));
                             const std::uint32_t limit =
                                 ready_ ? largest_frame : largest_handshake_frame;
                             if (length > limit) {
                                 refuse_frame("frame too long");
                                 return;
                             }
                             if (length == 0) {
                                 read_length();
                                 return;
                             }
                             body_.resize(length);
                             read_body();
                         });
    }

    void read_body() {
        auto self = shared_from_this();
        asio::async_read(socket_, asio::buffer(body_),
                         [this, self](std::error_code failure, std::size_t) {
                             if (failure || closed_) {
                                 close("read failed");
                                 return;
                             }
                             heard_ = std::chrono::steady_clock::now();
                             if (ready_) {
                                 on_frame();
                             } else {
                                 on_handshake();
                             }
                         });
    }

    void refuse_frame(const std::string& reason) {
        owner_.event(event_id::frame_refused, "peer=" + node() + " reason=\"" + reason + "\"");
        close(reason);
    }

    void refuse_peer(const std::string& reason) {
        owner_.event(event_id::peer_refused, "peer=" + node() + " reason=\"" + reason + "\"");
        close(reason);
    }

    void on_handshake() {
        const peer_handshake::progress progress = handshake_.receive(body_);
        if (!progress.refusal.empty()) {
            refuse_peer(progress.refusal);
            return;
        }
        if (progress.send) {
            write(frame(*progress.send));
        }
        if (progress.ready) {
            become_ready();
        } else {
            read_length();
        }
    }

    void become_ready() {
        ready_ = true;
        owner_.opened(shared_from_this());
        read_length();
    }

    void on_frame() {
        auto message = protocol::decode<protocol::internal_message>(body_);
        if (!message) {
            refuse_frame(message.error().reason);
            return;
        }
        incoming_ = std::move(*message);
        deliver();
    }

    void deliver() {
        if (owner_.handlers_.on_message(node(), incoming_)) {
            read_length();
            return;
        }
        auto self = shared_from_this();
        retry_timer_.expires_after(delivery_retry);
        retry_timer_.async_wait([this, self](std::error_code failure) {
            if (!failure && !closed_) {
                heard_ = std::chrono::steady_clock::now();
                deliver();
            }
        });
    }

    engine& owner_;
    tcp::socket socket_;
    peer_handshake handshake_;
    asio::steady_timer retry_timer_;
    bool ready_ = false;
    bool closed_ = false;
    std::string reason_;
    std::array<char, sizeof(std::uint32_t)> length_bytes_{};
    std::string body_;
    protocol::internal_message incoming_;
    std::deque<std::string> backlog_;
    std::size_t backlog_bytes_ = 0;
    std::chrono::steady_clock::time_point heard_;
    std::chrono::steady_clock::time_point sent_;
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
    // A moment for the last replies to leave; the peers see the close either way.
    std::this_thread::sleep_for(ping_interval);
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
        if (auto link = peer.current.lock()) {
            link->close("address changed");
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
        const auto link = open_.find(outbound.to);
        if (link == open_.end()) {
            // Nobody got it: whoever waits for an answer must hear so.
            tell_lost(outbound.to);
            continue;
        }
        const std::shared_ptr<connection> target = link->second;
        target->write(frame(protocol::encode(outbound.message)));
    }
}

void transport::engine::tell_lost(const node_name& node) {
    if (!handlers_.on_lost(node)) {
        untold_lost_.insert(node);
    }
}

void transport::engine::accept_next() {
    acceptor_.async_accept([this](std::error_code failure, tcp::socket socket) {
        if (!failure) {
            auto link = std::make_shared<connection>(*this, std::move(socket), node_name{});
            links_.insert(link);
            link->begin();
        }
        accept_next();
    });
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
        auto link = std::make_shared<connection>(*this, std::move(*socket), node);
        dialled.current = link;
        links_.insert(link);
        link->begin();
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
    std::erase_if(untold_lost_, handlers_.on_lost);
    const std::vector<std::shared_ptr<connection>> links(links_.begin(), links_.end());
    for (const std::shared_ptr<connection>& link : links) {
        link->check(now);
    }
    timer_.expires_after(redial_interval);
    timer_.async_wait([this](std::error_code failure) {
        if (!failure) {
            on_timer();
        }
    });
}

void transport::engine::opened(const std::shared_ptr<connection>& link) {
    open_.emplace(link->node(), link);
    event(event_id::peer_connected, "peer=" + link->node());
}

void transport::engine::closed(const std::shared_ptr<connection>& link) {
    links_.erase(link);
    const auto [begin, end] = open_.equal_range(link->node());
    for (auto candidate = begin; candidate != end; ++candidate) {
        if (candidate->second == link) {
            open_.erase(candidate);
            event(event_id::peer_lost,
                  "peer=" + link->node() + " reason=\"" + link->reason() + "\"");
            tell_lost(link->node());
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
