#pragma once
/// @file
/// Fetches a joining store's copy from other stores, one page at a time. Belongs to the loop
/// thread.
///
/// Owns the connections to the sources, which stay open only while a copy is under way, and the
/// timeout of the page under way. Relies on store_fsm for what to ask of which source.

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
    /// @param store takes the pages; has to outlive this object
    /// @param on_page the store has a page to write
    copy_client(asio::io_context& loop, store_fsm& store, std::function<void()> on_page);

    /// Asks for the next page, or closes all connections when no copy is under way.
    void request_page();
    /// Asks for the page after the one that has been written; does nothing when none has come.
    void on_page_written();
    /// Asks the next source when the page under way is overdue.
    void check_timeout();

  private:
    messaging::link_pointer link_to(const store_member& source);
    void on_reply(const copy_reply& reply);

    asio::io_context& loop_;
    store_fsm& store_;
    std::function<void()> on_page_;
    /// By address.
    std::map<std::string, messaging::link_pointer> links_;
    /// The source that was asked last.
    store_id source_ = 0;
    bool copying_ = false;
    copy_timeout timeout_;
    /// A page has come, and is to be written before the next one is asked for.
    bool page_received_ = false;
};

}  // namespace tallyfold::turns
