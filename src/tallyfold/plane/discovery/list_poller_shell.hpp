#pragma once
/// @file
/// Polls the deployment's list of back ends, page by page, while this node is the poller
/// (poller_election). Owns the connection to the list; backend_list_codec formats the requests.
/// Runs on the loop thread.

#include <asio/awaitable.hpp>
#include <functional>
#include <string>

#include "tallyfold/plane/discovery/backend_list_codec.hpp"
#include "tallyfold/plane/discovery/list_walk.hpp"
#include "tallyfold/plane/http/connection_shell.hpp"
#include "tallyfold/plane/process/instruments.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::discovery {

class list_poller {
  public:
    /// Handles a complete list. @return why the list is unusable; empty on success
    using list_handler = std::function<std::string(const polled_list&)>;

    list_poller(net::node_process& process, const backend_list_codec& codec);
    /// Starts polling.
    /// @param should_poll returns whether this node should poll in the next round
    void start(list_handler on_list, std::function<bool()> should_poll);
    /// When the last poll began.
    [[nodiscard]] instant last_poll() const { return last_poll_; }

  private:
    struct page_response {
        unsigned status = 0;
        /// How long to wait before the next request, when the response says so.
        duration retry_after{};
        std::string body;
    };

    asio::awaitable<void> poll();
    /// Polls once. @return why it failed; empty on success
    asio::awaitable<std::string> poll_once();
    /// Requests all pages. A page beyond the rate limit is requested again after a delay, so that
    /// the pages before it are not requested again.
    asio::awaitable<tl::expected<polled_list, std::string>> fetch_list();
    asio::awaitable<tl::expected<page_response, std::string>> fetch_page(std::string target);
    asio::awaitable<tl::expected<void, std::string>> send_request(std::string target,
                                                                  instant deadline);
    asio::awaitable<tl::expected<page_response, std::string>> read_response(instant deadline);
    asio::awaitable<void> wait(duration delay);
    void report_rejected(const polled_list& polled);
    void report_outcome(const std::string& failure, std::size_t backends);
    void disconnect();

    net::node_process& process_;
    const backend_list_codec& codec_;
    http::connection_pointer connection_;
    list_handler on_list_;
    std::function<bool()> should_poll_;
    instant last_poll_{};
    bool is_failing_ = false;
    /// Number of rejected entries that was logged last.
    std::size_t logged_rejected_ = 0;
    prometheus::Counter& requests_;
    prometheus::Counter& rejected_entries_;
};

}  // namespace tallyfold::discovery
