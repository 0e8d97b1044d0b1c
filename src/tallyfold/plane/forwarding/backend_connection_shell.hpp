#pragma once
/// @file
/// Connection to a back end. Owns the record of the requests that were sent over it.
///
/// A back end may send a surplus copy of an answer in place of a later one, and only the request's
/// identifier tells them apart. So an identifier is sent over a connection once: whoever sends a
/// request again, after a rejection for example, uses another connection.

#include "tallyfold/plane/forwarding/sent_requests.hpp"
#include "tallyfold/plane/http/connection_shell.hpp"

namespace tallyfold::forwarding {

class backend_connection final : public http::connection {
  public:
    explicit backend_connection(asio::io_context& loop)
        : connection(asio::ip::tcp::socket(loop), http::message_kind::response,
                     max_answer_head_bytes) {}

    /// True when the request was sent over this connection before.
    [[nodiscard]] bool has_sent(const std::string& request) const {
        return sent_.contains(request);
    }
    /// Sends a request; fails without sending anything when it was sent over this connection
    /// before.
    /// @param request its identifier
    /// @param body must outlive the call
    asio::awaitable<tl::expected<void, http::io_failure>> send(std::string request,
                                                               std::string head,
                                                               std::string_view body,
                                                               instant deadline) {
        if (has_sent(request)) {
            co_return tl::unexpected(http::io_failure::refused);
        }
        sent_.add(request);
        co_return co_await write(std::move(head), body, deadline);
    }

  private:
    /// Maximum size of an answer's head in bytes; four times the default limit of a caller's head.
    static constexpr std::size_t max_answer_head_bytes = 64U << 10U;

    // Requests are sent with send(), which records them.
    using http::connection::write;

    sent_requests sent_;
};

using backend_connection_pointer = std::shared_ptr<backend_connection>;

}  // namespace tallyfold::forwarding
