#include "tallyfold/program_api/http/http_server.hpp"

#include <chrono>
#include <restinio/all.hpp>
#include <stdexcept>
#include <thread>

#include "tallyfold/program_api/transport/transport.hpp"

namespace tallyfold::net {

namespace {

struct server_traits : restinio::default_single_thread_traits_t {
    using logger_t = restinio::null_logger_t;
};
using server_type = restinio::http_server_t<server_traits>;
using stream_response = restinio::response_builder_t<restinio::chunked_output_t>;

constexpr auto read_timeout = std::chrono::seconds(30);
constexpr auto handle_timeout = std::chrono::minutes(10);
constexpr std::size_t pipelined_requests = 1;
constexpr auto stop_grace = std::chrono::milliseconds(200);

class restinio_exchange final : public http_exchange,
                                public std::enable_shared_from_this<restinio_exchange> {
  public:
    restinio_exchange(restinio::request_handle_t request, restinio::asio_ns::io_context& context)
        : request_(std::move(request)), context_(context) {
        method_ = std::string(request_->header().method().c_str());
        path_ = std::string(request_->header().path());
    }

    const std::string& method() const override { return method_; }
    const std::string& path() const override { return path_; }
    std::string query(const std::string& name) const override {
        try {
            const auto parsed = restinio::parse_query(request_->header().query());
            const auto value = parsed.get_param(name);
            return value ? std::string(*value) : std::string{};
        } catch (const std::exception&) {
            return {};  // A malformed query has no parameters.
        }
    }
    std::string header(const std::string& name) const override {
        return request_->header().get_field_or(name, std::string{});
    }
    const std::string& body() const override { return request_->body(); }

    void respond(int status, const std::string& content_type, std::string body,
                 unsigned retry_after_seconds) override {
        post([this, status, content_type, body = std::move(body), retry_after_seconds]() mutable {
            auto response = request_->create_response(restinio::http_status_line_t(
                restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
                status < 400 ? "OK" : "Error"));
            response.append_header(restinio::http_field::content_type, content_type);
            if (retry_after_seconds > 0) {
                response.append_header(restinio::http_field::retry_after,
                                       std::to_string(retry_after_seconds));
            }
            response.set_body(std::move(body));
            response.done();
        });
    }

    void start_stream() override {
        post([this] {
            stream_ = std::make_unique<stream_response>(
                request_->create_response<restinio::chunked_output_t>());
            stream_->append_header(restinio::http_field::content_type, "text/event-stream");
            stream_->append_header(restinio::http_field::cache_control, "no-cache");
        });
    }

    void write(std::string bytes) override {
        post([this, bytes = std::move(bytes)]() mutable {
            if (stream_) {
                stream_->append_chunk(std::move(bytes));
                stream_->flush();
            }
        });
    }

    void finish() override {
        post([this] {
            if (stream_) {
                stream_->done();
                stream_.reset();
            }
        });
    }

    void abort() override {
        post([this] {
            if (stream_) {
                // RESTinio has no call that closes a connection; it closes one whose notificator
                // throws.
                stream_->flush([](const auto& /*error*/) {
                    throw std::runtime_error("the stream was aborted");
                });
                stream_.reset();
            }
        });
    }

  private:
    template <class Action>
    void post(Action&& action) {
        restinio::asio_ns::post(
            context_, [self = shared_from_this(), action = std::forward<Action>(action)]() mutable {
                try {
                    action();
                } catch (const std::exception&) {
                    // The connection is closed; the response is dropped.
                }
            });
    }

    restinio::request_handle_t request_;
    restinio::asio_ns::io_context& context_;
    std::string method_;
    std::string path_;
    std::unique_ptr<stream_response> stream_;
};

}  // namespace

class http_server::engine {
  public:
    engine(http_server_settings settings, std::function<void(exchange_pointer)> on_request)
        : settings_(std::move(settings)), on_request_(std::move(on_request)) {}

    std::string start() {
        const auto [host, port] = split_address(settings_.listen);
        if (host.empty()) {
            return "listen address '" + settings_.listen + "' is not ip:port";
        }
        const auto handler = [this](restinio::request_handle_t request) {
            on_request_(std::make_shared<restinio_exchange>(std::move(request), context_));
            return restinio::request_accepted();
        };
        server_ = std::make_unique<server_type>(
            restinio::external_io_context(context_), [&, host = host, port = port](auto& options) {
                options.address(host)
                    .port(port)
                    .request_handler(handler)
                    // Disables Nagle's algorithm: a streamed piece would wait for the previous
                    // one's acknowledgement.
                    .socket_options_setter([](auto& socket) {
                        socket.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
                    })
                    .read_next_http_message_timelimit(read_timeout)
                    .handle_request_timeout(handle_timeout)
                    .write_http_response_timelimit(read_timeout)
                    .max_pipelined_requests(pipelined_requests)
                    .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}.max_body_size(
                        settings_.largest_body));
            });
        std::string failure;
        try {
            server_->open_sync();
        } catch (const std::exception& refused) {
            failure = "cannot listen on " + settings_.listen + ": " + refused.what();
        }
        if (failure.empty()) {
            thread_ = std::thread([this] { context_.run(); });
        }
        return failure;
    }

    void stop() {
        if (!thread_.joinable()) {
            return;
        }
        std::this_thread::sleep_for(stop_grace);
        restinio::asio_ns::post(context_, [this] {
            server_->close_sync();
            context_.stop();
        });
        thread_.join();
    }

  private:
    http_server_settings settings_;
    std::function<void(exchange_pointer)> on_request_;
    restinio::asio_ns::io_context context_;
    std::unique_ptr<server_type> server_;
    std::thread thread_;
};

http_server::http_server(http_server_settings settings,
                         std::function<void(exchange_pointer)> on_request)
    : engine_(std::make_unique<engine>(std::move(settings), std::move(on_request))) {}
http_server::~http_server() {
    stop();
}
std::string http_server::start() {
    return engine_->start();
}
void http_server::stop() {
    engine_->stop();
}

}  // namespace tallyfold::net
