#pragma once
/// @file
/// Asks for the list of back ends, page by page, again and again. Belongs to the loop thread.

#include <asio/awaitable.hpp>
#include <functional>
#include <string>
#include <vector>

#include "tallyfold/forwarding/dialect.hpp"
#include "tallyfold/http/connection_shell.hpp"
#include "tallyfold/net/node_process_shell.hpp"

namespace tallyfold::forwarding {

class backend_list_poller {
  public:
    backend_list_poller(net::node_process& process, const forwarding_dialect& dialect);
    /// Starts to ask. @param on_list called with each whole list
    void start(std::function<void(const std::vector<listed_backend>&)> on_list);

  private:
    asio::awaitable<void> poll();
    asio::awaitable<tl::expected<std::vector<listed_backend>, std::string>> ask();
    asio::awaitable<tl::expected<std::string, std::string>> get(std::string target);

    net::node_process& process_;
    const forwarding_dialect& dialect_;
    http::connection_pointer connection_;
    std::function<void(const std::vector<listed_backend>&)> on_list_;
};

}  // namespace tallyfold::forwarding
