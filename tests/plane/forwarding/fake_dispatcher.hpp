#pragma once
/// @file
/// Directory nodes for tests of the dispatch client, on loopback sockets: one that answers requests
/// for places as a test sets it, and one of an earlier build.

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <cstring>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "tallyfold/plane/messaging/frame_channel_shell.hpp"

namespace tallyfold::tests {

enum class place_reply : std::uint8_t {
    grants,
    waits,
    refuses,
    unknown_service,
    /// Has engines of the service, but none that the call may use.
    no_engine,
    silent,
    /// Grants a place to another process of the node.
    grants_other_process,
};

class fake_dispatcher {
  public:
    static constexpr std::uint32_t active_nodes = 3;
    static constexpr std::uint32_t retry_after_ms = 1'500;

    fake_dispatcher(asio::io_context& loop, const asio::ip::address_v4& address)
        : endpoint_(address, 0), acceptor_(loop) {
        restart();
    }

    /// Closes all connections, and accepts no more.
    void kill() {
        acceptor_.close();
        for (const messaging::channel_pointer& channel : channels_) {
            channel->close();
        }
        channels_.clear();
    }
    /// Accepts connections at the address that the node had before.
    void restart() {
        acceptor_ = asio::ip::tcp::acceptor(acceptor_.get_executor(), endpoint_);
        endpoint_ = acceptor_.local_endpoint();
        accept();
    }
    [[nodiscard]] std::string address() const {
        return endpoint_.address().to_string() + ":" + std::to_string(endpoint_.port());
    }
    /// Answers a request with a grant now.
    void grant(const dispatch::place_request& request) { answer(request, place_reply::grants); }
    [[nodiscard]] bool has_renewed(dispatch::call_number call) const {
        return std::any_of(renewed.begin(), renewed.end(),
                           [&](const auto& each) { return each.call == call; });
    }
    [[nodiscard]] bool was_released(dispatch::call_number call,
                                    dispatch::release_outcome outcome) const {
        return std::any_of(released.begin(), released.end(), [&](const auto& each) {
            return each.call == call && each.outcome == outcome;
        });
    }

    /// Replies to the next requests; `reply` applies when there are none.
    std::deque<place_reply> next_replies;
    place_reply reply = place_reply::grants;
    backend_name engine = "backend-0";
    std::vector<dispatch::place_request> requests;
    std::vector<dispatch::released_call> released;
    std::vector<dispatch::running_call> renewed;

  private:
    void accept() {
        acceptor_.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            auto channel = std::make_shared<messaging::frame_channel>(std::move(socket));
            channels_.push_back(channel);
            channel->start([this](const messaging::peer_message& message) { receive(message); },
                           nullptr);
            accept();
        });
    }

    void receive(const messaging::peer_message& message) {
        if (std::holds_alternative<directory::node_report>(message)) {
            discovery::list_status status;
            status.active_nodes = active_nodes;
            channels_.back()->send(status);
        } else if (const auto* request = std::get_if<dispatch::place_request>(&message)) {
            requests.push_back(*request);
            place_reply chosen = reply;
            if (!next_replies.empty()) {
                chosen = next_replies.front();
                next_replies.pop_front();
            }
            answer(*request, chosen);
        } else if (const auto* release = std::get_if<dispatch::place_release>(&message)) {
            released.insert(released.end(), release->calls.begin(), release->calls.end());
        } else if (const auto* renewal = std::get_if<dispatch::place_renewal>(&message)) {
            renewed.insert(renewed.end(), renewal->calls.begin(), renewal->calls.end());
        }
    }

    void answer(const dispatch::place_request& request, place_reply chosen) {
        dispatch::place_answer answer;
        answer.process_id = request.process_id;
        answer.call = request.call;
        switch (chosen) {
            case place_reply::silent:
                return;
            case place_reply::waits:
                answer.outcome = dispatch::place_outcome::waiting;
                break;
            case place_reply::refuses:
                answer.outcome = dispatch::place_outcome::refused;
                answer.reason = dispatch::place_reason::wait_too_long;
                answer.expected_wait_ms = retry_after_ms;
                answer.retry_after_ms = retry_after_ms;
                break;
            case place_reply::unknown_service:
                break;
            case place_reply::no_engine:
                answer.slots = 6;
                break;
            case place_reply::grants_other_process:
                ++answer.process_id;
                [[fallthrough]];
            case place_reply::grants:
                answer.outcome = dispatch::place_outcome::granted;
                answer.engine = engine;
                answer.cached_tokens = 5;
                answer.waited_ms = 7;
                break;
        }
        if (!channels_.empty()) {
            channels_.back()->send(answer);
        }
    }

    asio::ip::tcp::endpoint endpoint_;
    asio::ip::tcp::acceptor acceptor_;
    std::vector<messaging::channel_pointer> channels_;
};

/// A directory node that knows message format v3.
class third_format_node {
  public:
    third_format_node(asio::io_context& loop, const asio::ip::address_v4& address)
        : acceptor_(loop, asio::ip::tcp::endpoint(address, 0)), socket_(loop) {
        acceptor_.async_accept(socket_, [this](const std::error_code& error) {
            if (!error) {
                const auto offer = messaging::encode_frame(messaging::to_message({3, 3}),
                                                           protocol::format_version::v1);
                asio::write(socket_, asio::buffer(*offer));
                read();
            }
        });
    }

    [[nodiscard]] std::string address() const {
        const asio::ip::tcp::endpoint endpoint = acceptor_.local_endpoint();
        return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }
    /// Kinds of the messages received so far.
    [[nodiscard]] std::vector<std::uint32_t> kinds() const {
        std::vector<std::uint32_t> kinds;
        std::size_t at = 0;
        while (at + messaging::frame_header_size < received_.size()) {
            std::uint32_t length = 0;
            std::memcpy(&length, received_.data() + at, sizeof(length));
            at += messaging::frame_header_size;
            kinds.push_back(messaging::kind_of_payload(received_.substr(at, length)).value_or(0));
            at += length;
        }
        return kinds;
    }

  private:
    void read() {
        socket_.async_read_some(asio::buffer(buffer_),
                                [this](const std::error_code& error, std::size_t count) {
                                    if (!error) {
                                        received_.append(buffer_.data(), count);
                                        read();
                                    }
                                });
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket socket_;
    std::array<char, 4'096> buffer_{};
    std::string received_;
};

}  // namespace tallyfold::tests
