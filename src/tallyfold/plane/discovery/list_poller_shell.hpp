#pragma once
/// @file
/// Polls the deployment's list of back ends, page by page, while this node is the poller
/// (poller_election). Owns the connection to the list; backend_list_codec formats the requests.
/// Runs on the loop thread.

#include <asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "tallyfold/plane/discovery/backend_list_codec.hpp"
#include "tallyfold/plane/http/connection_shell.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::discovery {

class list_poller {
  public:
    list_poller(net::node_process& process, const backend_list_codec& codec);
    /// Starts polling.
    /// @param on_list called with each complete list
    /// @param should_poll returns whether this node should poll in the next round
    void start(std::function<void(const std::vector<listed_backend>&)> on_list,
               std::function<bool()> should_poll);

  private:
    asio::awaitable<void> poll();
    asio::awaitable<tl::expected<std::vector<listed_backend>, std::string>> fetch_list();
    asio::awaitable<tl::expected<std::string, std::string>> fetch_page(std::string target);

    net::node_process& process_;
    const backend_list_codec& codec_;
    http::connection_pointer connection_;
    std::function<void(const std::vector<listed_backend>&)> on_list_;
    std::function<bool()> should_poll_;
};

}  // namespace tallyfold::discovery
