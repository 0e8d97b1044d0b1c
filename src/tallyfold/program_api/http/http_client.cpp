#include "tallyfold/program_api/http/http_client.hpp"

#include <curl/curl.h>

#include <atomic>
#include <map>
#include <thread>
#include <variant>

#include "tallyfold/base/common/bounded_ring.hpp"
#include "tallyfold/program_api/http/answer_head_check.hpp"

namespace tallyfold::net {

namespace {

constexpr std::size_t submit_ring_capacity = 8192;
constexpr int poll_timeout_ms = 50;
constexpr long connect_timeout_ms = 1000;
constexpr long connection_cache_size = 512;
/// Maximum size in bytes of an answer that is delivered whole; as that of a request to a server.
constexpr std::size_t max_answer_bytes = 8U << 20U;

struct cancel_call {
    http_call_id id = 0;
};
using client_command = std::variant<http_call, cancel_call>;

}  // namespace

class http_client::engine {
  public:
    explicit engine(std::function<void(http_event)> on_event)
        : on_event_(std::move(on_event)),
          commands_(submit_ring_capacity, [this] { curl_multi_wakeup(multi_); }),
          multi_(curl_multi_init()) {
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, connection_cache_size);
    }

    ~engine() {
        for (auto& [id, running] : running_) {
            curl_multi_remove_handle(multi_, running->easy);
        }
        running_.clear();
        curl_multi_cleanup(multi_);
    }
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    void start() {
        thread_ = std::thread([this] { run(); });
    }

    void stop() {
        stopping_ = true;
        curl_multi_wakeup(multi_);
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    bool submit(http_call call) {
        client_command command(std::move(call));
        return commands_.try_push(command);
    }

    bool cancel(http_call_id id) {
        client_command command(cancel_call{id});
        return commands_.try_push(command);
    }

  private:
    struct active_request {
        engine* owner = nullptr;
        http_call call;
        CURL* easy = nullptr;
        curl_slist* headers = nullptr;
        answer_head_check head;
        std::string received;

        active_request() = default;
        active_request(const active_request&) = delete;
        active_request& operator=(const active_request&) = delete;
        ~active_request() {
            curl_easy_cleanup(easy);
            curl_slist_free_all(headers);
        }
    };

    static std::size_t on_body_data(char* bytes, std::size_t size, std::size_t count,
                                    void* context) {
        auto* running = static_cast<active_request*>(context);
        long status = 0;
        curl_easy_getinfo(running->easy, CURLINFO_RESPONSE_CODE, &status);
        constexpr long first_error_status = 300;
        if (running->call.streamed && status < first_error_status) {
            running->owner->on_event_({running->call.id, http_event_kind::data,
                                       static_cast<int>(status), std::string(bytes, size * count)});
        } else if (running->received.size() + size * count > max_answer_bytes) {
            // Ends the transfer.
            return 0;
        } else {
            running->received.append(bytes, size * count);
        }
        return size * count;
    }

    void run() {
        while (!stopping_) {
            process_commands();
            int active = 0;
            curl_multi_perform(multi_, &active);
            process_completions();
            curl_multi_poll(multi_, nullptr, 0, poll_timeout_ms, nullptr);
        }
    }

    void process_commands() {
        client_command command;
        while (commands_.try_pop(command)) {
            if (auto* call = std::get_if<http_call>(&command)) {
                start_request(std::move(*call));
                continue;
            }
            const auto found = running_.find(std::get<cancel_call>(command).id);
            if (found != running_.end()) {
                curl_multi_remove_handle(multi_, found->second->easy);
                running_.erase(found);
            }
        }
    }

    void start_request(http_call call) {
        auto running = std::make_unique<active_request>();
        running->owner = this;
        running->call = std::move(call);
        running->easy = curl_easy_init();
        CURL* easy = running->easy;
        curl_easy_setopt(easy, CURLOPT_URL, running->call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_PRIVATE, running.get());
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &engine::on_body_data);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, running.get());
        running->head.attach(easy);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(running->call.timeout.count()));
        if (running->call.method == "POST") {
            running->headers = curl_slist_append(nullptr, "Content-Type: application/json");
            // Without this, libcurl waits for "100 Continue" before it sends a large body.
            running->headers = curl_slist_append(running->headers, "Expect:");
            curl_easy_setopt(easy, CURLOPT_HTTPHEADER, running->headers);
            curl_easy_setopt(easy, CURLOPT_POST, 1L);
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, running->call.body.data());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                             static_cast<long>(running->call.body.size()));
        }
        if (running->call.fresh_connection) {
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        }
        curl_multi_add_handle(multi_, easy);
        running_[running->call.id] = std::move(running);
    }

    void process_completions() {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            active_request* running = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &running);
            const CURLcode result = message->data.result;
            long status = 0;
            curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
            http_event event{running->call.id, http_event_kind::finished, static_cast<int>(status),
                             std::move(running->received)};
            if (result == CURLE_COULDNT_CONNECT) {
                event.kind = http_event_kind::unreachable;
            } else if (result != CURLE_OK) {
                event.kind = http_event_kind::broken;
                event.defect = running->head.defect();
            }
            const http_call_id id = running->call.id;
            curl_multi_remove_handle(multi_, message->easy_handle);
            running_.erase(id);
            on_event_(std::move(event));
        }
    }

    std::function<void(http_event)> on_event_;
    bounded_ring<client_command> commands_;
    CURLM* multi_;
    std::map<http_call_id, std::unique_ptr<active_request>> running_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

http_client::http_client(std::function<void(http_event)> on_event)
    : engine_(std::make_unique<engine>(std::move(on_event))) {}
http_client::~http_client() {
    stop();
}
void http_client::start() {
    engine_->start();
}
void http_client::stop() {
    engine_->stop();
}
bool http_client::submit(http_call call) {
    return engine_->submit(std::move(call));
}
bool http_client::cancel(http_call_id id) {
    return engine_->cancel(id);
}

}  // namespace tallyfold::net
