#pragma once
/// @file
/// Fetches the data that a joining store lacks from other stores, one page at a time. Runs on the
/// loop thread.
///
/// Owns the connections to the sources, which are open only while a copy is under way, and the
/// timeout of the outstanding page request. store_fsm decides which page is requested from which
/// source.

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>

#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tallyfold/plane/turns/copy_timeout.hpp"
#include "tallyfold/plane/turns/store_fsm.hpp"

namespace tallyfold::turns {

class copy_client {
  public:
    /// @param store receives the pages; must outlive this object
    /// @param on_page called when the store has a page to write
    copy_client(asio::io_context& loop, store_fsm& store, std::function<void()> on_page);

    /// Requests the next page, or closes all connections when no copy is under way.
    void request_page();
    /// Requests the next page once the last one is durable; does nothing when no page was received.
    void on_page_written();
    /// Switches to the next source when the outstanding page request has timed out.
    void check_timeout();

  private:
    messaging::link_pointer link_to(const store_member& source);
    void on_reply(const copy_reply& reply);

    asio::io_context& loop_;
    store_fsm& store_;
    std::function<void()> on_page_;
    /// Connections to sources, by address.
    std::map<std::string, messaging::link_pointer> links_;
    /// Source of the latest page request.
    store_id source_ = 0;
    bool copying_ = false;
    copy_timeout timeout_;
    /// A page was received; it is written before the next one is requested.
    bool page_received_ = false;
};

}  // namespace tallyfold::turns
