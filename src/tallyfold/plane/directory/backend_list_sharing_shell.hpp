#pragma once
/// @file
/// Distributes the list of back ends: one node polls it (discovery::poller_election), the other
/// directory nodes fetch changes from the leader, and each of them serves the nodes that report to
/// it. Owns the poller and the newest list known to this node. Runs on the loop thread.

#include <memory>
#include <optional>

#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/discovery/earlier_format_list.hpp"
#include "tallyfold/plane/discovery/list_fetch.hpp"
#include "tallyfold/plane/discovery/list_poller_shell.hpp"
#include "tallyfold/plane/discovery/list_source.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::directory {

class backend_list_sharing {
  public:
    /// @param core null while the data folder is unavailable
    backend_list_sharing(net::node_process& process, const discovery::backend_list_codec& codec,
                         const std::unique_ptr<directory_core>& core);

    void start();

    /// The newest list that this node knows.
    [[nodiscard]] const discovery::backend_list& list() const { return list_; }
    /// Returns the status of the list for a node that reports.
    /// @param active_nodes number of nodes known to be active
    [[nodiscard]] discovery::list_status status(std::size_t active_nodes, instant now) const;
    /// Returns the requested part of the list.
    [[nodiscard]] discovery::list_part answer(const discovery::list_request& request, instant now);
    /// Returns the changes that a node of a format before v3 lacks; empty when it holds the newest
    /// list or does not use it.
    [[nodiscard]] std::vector<discovery::list_update> changes_for(const node_report& report,
                                                                  instant now);

    /// Returns the report that asks the leader for its list; empty at the leader and when no leader
    /// is known.
    /// @param format newest format that the leader supports
    [[nodiscard]] std::optional<node_report> leader_report(protocol::format_version format);
    /// Handles the leader's status. @return the request to send to it, if its list is newer
    std::optional<discovery::list_request> on_leader_status(const node_name& leader,
                                                            const discovery::list_status& status);
    /// Handles a part of the leader's list. @return the next request to send to it
    std::optional<discovery::list_request> on_leader_part(const node_name& leader,
                                                          const discovery::list_part& part);
    /// Applies the list in the answer of a leader of a format before v3.
    void on_leader_answer(const node_report_answer& answer);

  private:
    /// True when this node should poll the list in the next round.
    [[nodiscard]] bool is_poller() const;

    net::node_process& process_;
    const std::unique_ptr<directory_core>& core_;
    discovery::list_poller poller_;
    discovery::backend_list list_;
    discovery::list_fetch fetch_;
    discovery::list_source source_;
    discovery::earlier_format_list earlier_format_;
    instant started_at_;
};

}  // namespace tallyfold::directory
