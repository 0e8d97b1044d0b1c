#pragma once
/// @file
/// A forwarder's knowledge of the contents of requests under which back ends ended: its own
/// crashes, and what the directory nodes tell. Owns the table and the reports under way. Runs on
/// the loop thread.
///
/// A content that this node has seen answered a short time ago is popular rather than fatal: its
/// crashes aren't recorded, and the other nodes are told to forget them.
///
/// A forwarder that reaches no directory node goes on with what it knows itself.

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>

#include "tallyfold/plane/directory/directory_client_shell.hpp"
#include "tallyfold/plane/poison/answered_contents.hpp"
#include "tallyfold/plane/poison/crash_table.hpp"
#include "tallyfold/plane/poison/messages.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::poison {

/// What became of a report to the directory nodes.
struct report_outcome {
    /// Number of directory nodes that were told, and of those that answered in time.
    std::size_t told = 0;
    std::size_t answered = 0;
    /// Consecutive crashes under the content, as known after the answers.
    std::size_t consecutive = 0;
};

class crash_client {
  public:
    /// Time limit of a report. The request waits for it, so that its next attempt, at whichever
    /// node, is decided with all crashes known.
    static constexpr duration report_timeout = std::chrono::milliseconds(100);

    crash_client(net::node_process& process, directory::directory_client& directory);

    /// Receives the directory nodes' messages, and forgets old crashes from now on.
    void start();
    /// Records a crash and reports it, unless the content was answered a short time ago. Waits
    /// until a majority of the directory nodes has answered with what it knows of the content, or
    /// until the time limit.
    asio::awaitable<report_outcome> report(content_key content, crash added);
    /// Records that a back end has answered a request of the content whole. Its crashes are
    /// forgotten, here and at the other nodes.
    /// @return true when crashes were known
    bool record_answer(content_key content);
    [[nodiscard]] const crash_table& crashes() const { return crashes_; }

  private:
    struct pending_report {
        explicit pending_report(asio::io_context& loop) : timer(loop) {}
        asio::steady_timer timer;
        std::set<node_name> unanswered;
        std::size_t answered = 0;
        std::size_t majority = 0;
    };

    void on_status(const node_name& from, const crash_status& status);
    void merge(const content_crashes& told, instant now);
    /// Tells the other nodes to forget a content.
    void send_release(content_key content);
    /// Sends to the directory nodes that support the format. @return their addresses
    std::set<node_name> send(const crash_report& report);

    net::node_process& process_;
    directory::directory_client& directory_;
    crash_table crashes_;
    answered_contents answered_;
    std::map<report_number, std::shared_ptr<pending_report>> reports_;
    report_number next_report_ = 1;
};

}  // namespace tallyfold::poison
