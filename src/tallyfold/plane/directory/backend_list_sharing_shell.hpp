#pragma once
/// @file
/// The directory node's part in keeping the list of back ends known everywhere: one node polls it
/// (discovery::poller_election), the others ask the leader for what has changed, and each answers
/// the nodes that report to it. Owns the poller and the newest list known here. Belongs to the loop
/// thread.

#include <memory>
#include <optional>

#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/discovery/list_poller_shell.hpp"
#include "tallyfold/plane/discovery/types.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::directory {

class backend_list_sharing {
  public:
    /// @param core null while the data folder can't be used
    backend_list_sharing(net::node_process& process, const discovery::backend_list_codec& codec,
                         const std::unique_ptr<directory_core>& core);

    void start();
    /// Takes over what the leader's answer says of the list.
    void learn(const node_report_answer& answer);
    /// What the reporting node lacks; nothing when it holds the newest list or has no use for it.
    [[nodiscard]] std::vector<discovery::list_sight> newer_for(const node_report& report,
                                                               instant now);
    /// The question for the leader; nothing at the leader itself, or when none is known.
    [[nodiscard]] std::optional<node_report> question_for_leader() const;

  private:
    /// True when this node polls the list in the next round.
    [[nodiscard]] bool polls() const;

    net::node_process& process_;
    const std::unique_ptr<directory_core>& core_;
    discovery::list_poller poller_;
    discovery::list_memory list_;
};

}  // namespace tallyfold::directory
