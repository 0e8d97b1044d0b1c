#pragma once
/// @file
/// Distributes the list of back ends: one node polls it (discovery::poller_election), the other
/// directory nodes request changes from the leader, and each of them sends them to the nodes that
/// report to it. Owns the poller and the newest list known to this node. Runs on the loop thread.

#include <memory>
#include <optional>

#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/discovery/list_poller_shell.hpp"
#include "tallyfold/plane/discovery/types.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::directory {

class backend_list_sharing {
  public:
    /// @param core null while the data folder is unavailable
    backend_list_sharing(net::node_process& process, const discovery::backend_list_codec& codec,
                         const std::unique_ptr<directory_core>& core);

    void start();
    /// Applies the list in the leader's answer.
    void on_leader_answer(const node_report_answer& answer);
    /// Returns the changes that the reporting node lacks; empty when it holds the newest list or
    /// does not use it.
    [[nodiscard]] std::vector<discovery::list_update> changes_for(const node_report& report,
                                                                  instant now);
    /// Returns the report that requests the list from the leader; empty at the leader and when no
    /// leader is known.
    [[nodiscard]] std::optional<node_report> list_request() const;

  private:
    /// True when this node should poll the list in the next round.
    [[nodiscard]] bool is_poller() const;

    net::node_process& process_;
    const std::unique_ptr<directory_core>& core_;
    discovery::list_poller poller_;
    discovery::backend_list_replica list_;
};

}  // namespace tallyfold::directory
