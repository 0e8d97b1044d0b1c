#pragma once
/// @file
/// The request path of one forwarder in a test: a caller_listener with its context, back ends and
/// callers on loopback sockets, all on one loop. Nothing runs outside run_until() and run_turns().

#include <unistd.h>

#include <array>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/names.hpp"
#include "platform/replica_calls.hpp"
#include "tallyfold/plane/forwarding/answer_rendering.hpp"
#include "tallyfold/plane/forwarding/caller_listener_shell.hpp"
#include "tallyfold/plane/forwarding/forwarder_context.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

inline settings::node_settings forwarder_settings() {
    settings::node_settings settings;
    settings.node = "forwarder";
    settings.zone = "zone";
    settings.grace = std::chrono::seconds(8);
    // Without a store table each request would wait.
    settings.disabled.add("early_wait");
    return settings;
}

/// How a back end treats each request.
enum class backend_behavior : std::uint8_t {
    silent,
    /// Answers that it did not run the request.
    rejects,
    answers,
    /// Sends the beginning of a chunked answer, and its end once released.
    starts_answer,
    /// Answers once released.
    holds,
    /// Closes the connection instead of an answer.
    closes,
    /// Sends one event of a stream to the first request and closes the connection; sends the next
    /// event to the second request, and the end once released.
    breaks_stream,
    /// Sends one event of a stream, closes the connection and accepts no further one.
    dies_in_stream,
    /// Closes the connection instead of an answer and accepts no further one.
    ends,
    /// Resets the connection instead of an answer; further connection attempts get no reply.
    loses_power,
    /// Sends the head of a rejection and a part of its body.
    rejects_partly,
};

/// A back end that counts the requests which reach it.
class counting_backend {
  public:
    counting_backend(asio::io_context& loop, backend_behavior behavior)
        : loop_(loop),
          acceptor_(loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          behavior_(behavior),
          released_(loop, asio::steady_timer::time_point::max()) {
        accept();
    }

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    /// Answers the requests that are held.
    void release() { released_.cancel(); }
    /// Answers all requests from here on.
    void answer_all() {
        behavior_ = backend_behavior::answers;
        release();
    }
    /// Treats requests so from here on.
    void behave(backend_behavior behavior) { behavior_ = behavior; }
    /// Closes all connections and accepts no more.
    void end() {
        acceptor_.close();
        for (const http::connection_pointer& peer : peers_) {
            peer->abort();
        }
    }
    /// Identifiers of the requests read so far.
    [[nodiscard]] const std::vector<std::string>& requests() const { return requests_; }

  private:
    /// True for the streaming routes of forwarder_world, whose answers are events.
    static bool is_stream(const std::string& target) {
        return target.starts_with("/turn/") || target.starts_with("/resumable/");
    }

    void accept() {
        acceptor_.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            auto peer = std::make_shared<http::connection>(std::move(socket),
                                                           http::message_kind::request, 64'000);
            peers_.push_back(peer);
            asio::co_spawn(loop_, serve(std::move(peer)), asio::detached);
            accept();
        });
    }

    /// Fills the queue of new connections, so that the kernel drops further SYN packets.
    void stop_replying() {
        constexpr int least_backlog = 0;
        constexpr int enough_connections = 4;
        acceptor_.cancel();
        acceptor_.listen(least_backlog);
        for (int count = 0; count < enough_connections; ++count) {
            fillers_.emplace_back(loop_, asio::ip::tcp::v4());
            fillers_.back().async_connect(acceptor_.local_endpoint(),
                                          [](const std::error_code&) {});
        }
    }

    asio::awaitable<void> serve(http::connection_pointer peer) {
        while (true) {
            const instant limit = http::steady_now() + std::chrono::seconds(60);
            const auto head = co_await peer->read_head(limit);
            if (!head) {
                co_return;
            }
            const std::string id = *peer->head().headers.find(platform::names::request_id);
            requests_.push_back(id);
            if (behavior_ == backend_behavior::ends) {
                acceptor_.close();
            }
            if (behavior_ == backend_behavior::closes || behavior_ == backend_behavior::ends) {
                peer->close();
                co_return;
            }
            if (behavior_ == backend_behavior::loses_power) {
                stop_replying();
                peer->abort();
                co_return;
            }
            if (behavior_ == backend_behavior::holds) {
                co_await released_.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
            }
            std::string answer = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n";
            if (behavior_ == backend_behavior::rejects) {
                answer = "HTTP/1.1 503 Full\r\nX-Not-Executed: full\r\n";
            }
            answer += "X-Request-Id: " + id + "\r\n";
            if (behavior_ == backend_behavior::rejects_partly) {
                answer = "HTTP/1.1 503 Full\r\nX-Not-Executed: full\r\nX-Request-Id: " + id +
                         "\r\nContent-Length: 9\r\n\r\nfull";
                co_await peer->write(std::move(answer), limit);
                peer->next_message();
                continue;
            }
            if (behavior_ == backend_behavior::dies_in_stream) {
                answer += "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n";
                co_await peer->write(std::move(answer), limit);
                acceptor_.close();
                peer->close();
                co_return;
            }
            if (behavior_ == backend_behavior::breaks_stream) {
                answer += "Transfer-Encoding: chunked\r\n\r\nf\r\nid: " +
                          std::to_string(requests_.size()) + "\ndata: x\n\n\r\n";
                co_await peer->write(std::move(answer), limit);
                if (requests_.size() == 1) {
                    peer->close();
                    co_return;
                }
                co_await released_.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
                std::string end = "0\r\n\r\n";
                co_await peer->write(std::move(end), limit);
                peer->next_message();
                continue;
            }
            const std::string body = is_stream(peer->head().target) ? "data: ok\r\n\r\n" : "ok";
            answer += behavior_ == backend_behavior::starts_answer
                          ? "Transfer-Encoding: chunked\r\n\r\n" + forwarding::render_chunk(body)
                          : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            if (behavior_ != backend_behavior::silent) {
                co_await peer->write(std::move(answer), limit);
            }
            if (behavior_ == backend_behavior::starts_answer) {
                co_await released_.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
                std::string end = "0\r\n\r\n";
                co_await peer->write(std::move(end), limit);
            }
            peer->next_message();
        }
    }

    asio::io_context& loop_;
    asio::ip::tcp::acceptor acceptor_;
    backend_behavior behavior_;
    asio::steady_timer released_;
    std::vector<http::connection_pointer> peers_;
    std::vector<asio::ip::tcp::socket> fillers_;
    std::vector<std::string> requests_;
};

/// A caller's connection; collects everything that it receives.
class raw_caller {
  public:
    raw_caller(asio::io_context& loop, const asio::ip::tcp::endpoint& forwarder) : socket_(loop) {
        socket_.connect(forwarder);
        socket_.non_blocking(true);
    }

    void send(const std::string& bytes) {
        std::error_code error;
        asio::write(socket_, asio::buffer(bytes), error);
    }
    void close() { socket_.close(); }
    /// Reads what has arrived. @return all bytes received so far
    const std::string& received() {
        std::array<char, 4'096> buffer{};
        while (!ended_) {
            std::error_code error;
            const std::size_t count = socket_.read_some(asio::buffer(buffer), error);
            if (error == asio::error::would_block) {
                break;
            }
            received_.append(buffer.data(), count);
            ended_ = static_cast<bool>(error);
            was_reset_ = error == asio::error::connection_reset;
        }
        return received_;
    }
    [[nodiscard]] bool ended() {
        received();
        return ended_;
    }
    [[nodiscard]] bool was_reset() {
        received();
        return was_reset_;
    }
    [[nodiscard]] bool received_text(const std::string& text) {
        return received().find(text) != std::string::npos;
    }

  private:
    asio::ip::tcp::socket socket_;
    std::string received_;
    bool ended_ = false;
    bool was_reset_ = false;
};

class forwarder_world {
  public:
    /// @param port of the callers' address; differs between worlds that exist at once
    explicit forwarder_world(settings::node_settings settings = forwarder_settings(),
                             std::uint16_t port = 17'180)
        : process(std::move(settings)),
          metrics(process.metrics()),
          backends("zone", 1),
          directory(process, {}),
          quotas(process, directory),
          turns(process, [](const turns::store_map&) {}),
          origins(process, turns),
          dispatch(process, directory, metrics),
          crashes(process, directory),
          detector(process, connections, crashes, metrics),
          context{process,  codec,       directory, quotas,  turns,    origins,
                  backends, connections, metrics,   ranking, dispatch, crashes,
                  detector, {},          nullptr,   {},      false},
          callers(context) {
        listen(port);
    }

    /// Puts a configuration into force with a repeatable and an at-most-once route, a stream that
    /// keeps its history and one that is resumed.
    void apply_configuration(std::uint32_t timeout_ms = 20'000, std::uint32_t idle_ms = 15'000) {
        routing::configuration configuration;
        configuration.limits.idle_timeout_ms = idle_ms;
        configuration.version = ++version_;
        configuration.tenants = configured_tenants;
        quotas.use(configured_tenants);
        configuration.services.push_back({"service", "/health", 9, serves_engines});
        routing::route repeatable;
        repeatable.name = "repeatable";
        repeatable.host = "host";
        repeatable.prefix = "/repeatable/";
        repeatable.services.push_back({"service"});
        repeatable.repeats = routing::repeatability::repeatable;
        repeatable.timeout_ms = timeout_ms;
        repeatable.max_attempts = 3;
        routing::route once = repeatable;
        once.name = "once";
        once.prefix = "/once/";
        once.repeats = routing::repeatability::at_most_once;
        routing::route turn = once;
        turn.name = "turn";
        turn.prefix = "/turn/";
        turn.streaming = true;
        turn.keeps_history = true;
        routing::route resumable = once;
        resumable.name = "resumable";
        resumable.prefix = "/resumable/";
        resumable.streaming = true;
        resumable.resumable = true;
        configuration.routes = {repeatable, once, turn, resumable};
        context.routes = std::make_shared<routing::route_table>(std::move(configuration));
    }

    /// Lists the back ends of another world too.
    void list_backends_of(const forwarder_world& other) {
        listed_ = other.listed_;
        backends.update(listed_, http::steady_now());
    }

    counting_backend& add_backend(backend_behavior behavior, const std::string& version = {}) {
        running_backends_.push_back(std::make_unique<counting_backend>(process.loop(), behavior));
        list_backend(running_backends_.back()->address(), version);
        return *running_backends_.back();
    }

    /// Adds a back end that runs elsewhere to the list.
    void list_backend(const std::string& address, const std::string& version = {}) {
        discovery::listed_backend listed;
        listed.service = "service";
        listed.member.name = "backend-" + std::to_string(listed_.size());
        listed.member.address = address;
        listed.member.zone = "zone";
        listed.member.listed_only = true;
        listed.member.variant = version;
        listed_.push_back(listed);
        backends.update(listed_, http::steady_now());
    }

    /// Empties the list of back ends; those that run go on.
    void remove_backends() {
        listed_.clear();
        backends.update(listed_, http::steady_now());
    }

    std::unique_ptr<raw_caller> connect() {
        return std::make_unique<raw_caller>(process.loop(), endpoint_);
    }

    static std::string request(const std::string& route, const std::string& id,
                               const std::string& headers = {}) {
        return "GET /" + route + "/ HTTP/1.1\r\nHost: host\r\nX-Request-Id: " + id + "\r\n" +
               headers + "\r\n";
    }

    /// Makes the stores of turns known, none of which can be reached.
    void add_unreachable_stores() {
        turns::store_table stores;
        stores.epoch = 1;
        stores.groups.push_back({1, {{1, "store", "127.0.0.1:1", "zone"}}, {}, 0});
        turns.update_stores(stores);
    }

    /// Makes a store known that can be reached, once its connection is up.
    void add_store(turns::store_id id, const std::string& address) {
        turns::store_table stores;
        stores.epoch = 1;
        stores.groups.push_back({1, {{id, "store", address, "zone"}}, {}, 0});
        turns.update_stores(stores);
        CPPUNIT_ASSERT(run_until([&] { return turns.supports(id, protocol::newest_format); }));
    }

    /// What a forwarder does at the cut-off of a shutdown.
    void cut_off() {
        context.stopping = true;
        callers.stop_accepting();
        callers.cut_off_requests();
    }

    /// Runs the loop until the condition holds. @return false when it didn't within the limit
    bool run_until(const std::function<bool()>& reached,
                   duration limit = std::chrono::seconds(20)) {
        const instant end = http::steady_now() + limit;
        while (!reached() && http::steady_now() < end) {
            process.loop().restart();
            process.loop().run_one_for(std::chrono::milliseconds(5));
        }
        return reached();
    }
    void run_for(duration time) {
        run_until([] { return false; }, time);
        process.loop().poll();
    }

    /// Runs one handler of the loop. @return false when none was ready within the limit
    bool run_one_handler(duration limit) {
        process.loop().restart();
        return process.loop().run_one_for(limit) > 0;
    }

    /// A loopback address that no other process uses: it contains the process's number.
    static asio::ip::address_v4 own_address() {
        constexpr std::uint32_t loopback_network = 127U << 24U;
        return asio::ip::address_v4(loopback_network | static_cast<std::uint32_t>(::getpid()));
    }

    /// Tenants of the configuration; without any, callers need no key.
    std::vector<routing::tenant> configured_tenants;
    /// True when the back ends of the configuration are engines.
    bool serves_engines = false;
    net::node_process process;
    platform::replica_calls codec;
    forwarding::forwarder_metrics metrics;
    forwarding::backend_registry backends;
    forwarding::connection_pool connections;
    directory::directory_client directory;
    tenants::quota_client quotas;
    turns::turn_client turns;
    streams::origin_client origins;
    forwarding::call_ranking ranking;
    forwarding::dispatch_client dispatch;
    poison::crash_client crashes;
    forwarding::crash_detector detector;
    forwarding::forwarder_context context;
    forwarding::caller_listener callers;

  private:
    void listen(std::uint16_t port) {
        const asio::ip::address_v4 address = own_address();
        endpoint_ = {address, port};
        const std::string problem = callers.start(address.to_string() + ":" + std::to_string(port));
        CPPUNIT_ASSERT_EQUAL(std::string{}, problem);
    }

    asio::ip::tcp::endpoint endpoint_;
    routing::configuration_version version_ = 0;
    std::vector<discovery::listed_backend> listed_;
    std::vector<std::unique_ptr<counting_backend>> running_backends_;
};

}  // namespace tallyfold::tests
