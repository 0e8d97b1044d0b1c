#pragma once
/// @file
/// Answers the nodes that report to this directory node: what they lack, parts of a newer
/// configuration, proof that they hold the newest one, and which back ends other nodes have seen
/// fail. Owns the open questions for proof and the relayed failures. Belongs to the loop thread.

#include <map>
#include <memory>

#include "tallyfold/plane/directory/backend_list_sharing_shell.hpp"
#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/directory/directory_metrics.hpp"
#include "tallyfold/plane/directory/failure_relay.hpp"
#include "tallyfold/plane/directory/propagation_monitor_shell.hpp"
#include "tallyfold/plane/messaging/frame_channel_shell.hpp"

namespace tallyfold::directory {

class report_service {
  public:
    report_service(directory_metrics& metrics, backend_list_sharing& list,
                   propagation_monitor& propagation);

    /// Answers a report at once, and has the core prove the configuration when it asks for that.
    void answer(directory_core& core, const messaging::channel_pointer& channel,
                const node_report& report);
    void answer(directory_core& core, const messaging::channel_pointer& channel,
                const configuration_request& request);
    /// A node has seen a back end fail.
    void take(const discovery::failure_report& report);
    /// The core has ended a question for proof. One without proof stays unanswered: the node asks
    /// the next directory node.
    void end_proof(const directory_core& core, const directory_proof& proof);
    /// The core is gone: questions that it was asked are dropped.
    void forget_questions() { questions_.clear(); }

  private:
    /// A node that waits for proof that it holds the newest configuration.
    struct waiting_question {
        std::weak_ptr<messaging::frame_channel> channel;
        node_report report;
    };

    directory_metrics& metrics_;
    backend_list_sharing& list_;
    propagation_monitor& propagation_;
    failure_relay failures_;
    std::map<request_token, waiting_question> questions_;
    request_token next_question_ = 1;
};

}  // namespace tallyfold::directory
