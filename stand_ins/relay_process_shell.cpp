#include <array>
#include <asio.hpp>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <thread>

#include "stand_ins/relay_process.hpp"
#include "tallyfold/program_api/http/http_server.hpp"
#include "tallyfold/program_api/transport/transport.hpp"

namespace tallyfold::stand_ins {

namespace {

using asio::ip::tcp;

constexpr std::size_t buffer_size = 64U << 10U;
/// Maximum number of buffered bytes per direction; reading pauses above it.
constexpr std::size_t max_bytes_in_flight = 4U << 20U;
constexpr auto cut_poll = std::chrono::milliseconds(50);
constexpr auto stop_poll = std::chrono::milliseconds(20);

/// State of one route, shared with its connections.
struct route_state {
    relay_route route;
    bool cut_in = false;
    bool cut_out = false;
};

/// One direction of a connection. Forwards bytes `delay` after their arrival.
class pipe : public std::enable_shared_from_this<pipe> {
  public:
    pipe(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to, duration delay,
         const bool& cut)
        : from_(std::move(from)),
          to_(std::move(to)),
          delay_(delay),
          cut_(cut),
          timer_(from_->get_executor()) {}

    void start() { read(); }

  private:
    struct chunk {
        std::chrono::steady_clock::time_point due;
        std::string bytes;
    };

    void read() {
        if (in_flight_ > max_bytes_in_flight) {
            reading_ = false;
            return;
        }
        reading_ = true;
        from_->async_read_some(
            asio::buffer(buffer_),
            [self = shared_from_this()](std::error_code failure, std::size_t count) {
                if (failure) {
                    self->ended_ = true;
                    self->send_next();
                    return;
                }
                self->in_flight_ += count;
                self->chunks_.push_back({std::chrono::steady_clock::now() + self->delay_,
                                         std::string(self->buffer_.data(), count)});
                self->send_next();
                self->read();
            });
    }

    void send_next() {
        if (sending_) {
            return;
        }
        if (chunks_.empty()) {
            if (ended_) {
                close();
            }
            return;
        }
        sending_ = true;
        wait_until(chunks_.front().due);
    }

    void wait_until(std::chrono::steady_clock::time_point due) {
        timer_.expires_at(due);
        timer_.async_wait([self = shared_from_this()](std::error_code failure) {
            if (failure) {
                return;
            }
            if (self->cut_) {
                // Holds the bytes back, so that both ends see an idle connection, not a closed one.
                self->wait_until(std::chrono::steady_clock::now() + cut_poll);
                return;
            }
            self->write();
        });
    }

    void write() {
        asio::async_write(*to_, asio::buffer(chunks_.front().bytes),
                          [self = shared_from_this()](std::error_code failure, std::size_t count) {
                              self->sending_ = false;
                              if (failure) {
                                  self->close();
                                  return;
                              }
                              self->in_flight_ -= count;
                              self->chunks_.pop_front();
                              if (!self->reading_ && !self->ended_) {
                                  self->read();
                              }
                              self->send_next();
                          });
    }

    void close() {
        std::error_code ignored;
        from_->close(ignored);
        to_->close(ignored);
    }

    std::shared_ptr<tcp::socket> from_;
    std::shared_ptr<tcp::socket> to_;
    duration delay_;
    const bool& cut_;
    asio::steady_timer timer_;
    std::array<char, buffer_size> buffer_{};
    std::deque<chunk> chunks_;
    std::size_t in_flight_ = 0;
    bool reading_ = false;
    bool sending_ = false;
    bool ended_ = false;
};

tcp::endpoint endpoint_of(const std::string& address) {
    const auto [host, port] = net::split_address(address);
    return {asio::ip::make_address(host), port};
}

class relay_runtime {
  public:
    explicit relay_runtime(const relay_process& settings)
        : server_({settings.http_listen}, [this](net::exchange_pointer exchange) {
              asio::post(context_, [this, exchange] { on_http(*exchange); });
          }) {
        for (const relay_route& route : settings.routes) {
            routes_[route.name].route = route;
        }
    }

    int run(const std::atomic<bool>& stop) {
        try {
            for (auto& [name, state] : routes_) {
                listen(state);
            }
        } catch (const std::system_error& failure) {
            std::cerr << failure.what() << '\n';
            return 1;
        }
        if (const std::string failure = server_.start(); !failure.empty()) {
            std::cerr << failure << '\n';
            return 1;
        }
        std::thread thread([this] {
            const auto guard = asio::make_work_guard(context_);
            context_.run();
        });
        while (!stop) {
            std::this_thread::sleep_for(stop_poll);
        }
        server_.stop();
        context_.stop();
        thread.join();
        return 0;
    }

  private:
    void listen(route_state& state) {
        auto acceptor =
            std::make_shared<tcp::acceptor>(context_, endpoint_of(state.route.listen), true);
        accept(acceptor, state);
    }

    void accept(const std::shared_ptr<tcp::acceptor>& acceptor, route_state& state) {
        auto inbound = std::make_shared<tcp::socket>(context_);
        acceptor->async_accept(*inbound,
                               [this, acceptor, inbound, &state](std::error_code failure) {
                                   if (!failure) {
                                       connect(inbound, state);
                                   }
                                   accept(acceptor, state);
                               });
    }

    void connect(const std::shared_ptr<tcp::socket>& inbound, route_state& state) {
        auto outbound = std::make_shared<tcp::socket>(context_);
        outbound->async_connect(endpoint_of(state.route.target), [inbound, outbound,
                                                                  &state](std::error_code failure) {
            std::error_code ignored;
            if (failure) {
                // Resets the connection, as a host without a listener does.
                inbound->set_option(asio::socket_base::linger(true, 0), ignored);
                inbound->close(ignored);
                return;
            }
            inbound->set_option(tcp::no_delay(true), ignored);
            outbound->set_option(tcp::no_delay(true), ignored);
            std::make_shared<pipe>(inbound, outbound, state.route.delay, state.cut_in)->start();
            std::make_shared<pipe>(outbound, inbound, state.route.delay, state.cut_out)->start();
        });
    }

    void on_http(net::http_exchange& exchange) {
        if (exchange.path() == "/healthz") {
            exchange.respond(200, "text/plain", "ok\n");
            return;
        }
        std::istringstream words(exchange.body());
        std::string name;
        std::string side;
        words >> name >> side;
        const auto found = routes_.find(name);
        const bool cut = exchange.path() == "/v1/cut";
        if (found == routes_.end() || (!cut && exchange.path() != "/v1/heal")) {
            exchange.respond(404, "text/plain", "no such route\n");
            return;
        }
        if (side.empty() || side == "in") {
            found->second.cut_in = cut;
        }
        if (side.empty() || side == "out") {
            found->second.cut_out = cut;
        }
        exchange.respond(200, "text/plain", "ok\n");
    }

    asio::io_context context_;
    std::map<std::string, route_state> routes_;
    net::http_server server_;
};

}  // namespace

int run_relay(const relay_process& settings, const std::atomic<bool>& stop) {
    return relay_runtime(settings).run(stop);
}

}  // namespace tallyfold::stand_ins
