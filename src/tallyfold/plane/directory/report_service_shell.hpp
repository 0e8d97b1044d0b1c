#pragma once
/// @file
/// Answers the nodes that report to this directory node: newer state, parts of the configuration,
/// proofs that a configuration is the newest, and failures of back ends reported by other nodes.
/// Owns the pending questions for proofs and the relayed failures. Runs on the loop thread.

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

    /// Answers a report immediately, and requests a proof from the core when the report asks for
    /// one.
    void answer(directory_core& core, const messaging::channel_pointer& channel,
                const node_report& report);
    void answer(directory_core& core, const messaging::channel_pointer& channel,
                const configuration_request& request);
    void answer(const messaging::channel_pointer& channel, const discovery::list_request& request);
    /// Sets the number of active nodes, which is sent with the status of the list.
    void set_active_nodes(std::size_t count) { active_nodes_ = count; }
    /// Records a back end's failure that a node reported.
    void record_failure(const discovery::failure_report& report);
    /// Answers the question for which the core has completed a proof. Without proof, the question
    /// is dropped: the node asks the next directory node.
    void on_proof(const directory_core& core, const directory_proof& proof);
    /// Drops all pending questions after the core was destroyed.
    void drop_questions() { questions_.clear(); }

  private:
    /// Sends the evacuated zones, if there has been an evacuation.
    static void send_evacuations(const directory_core& core,
                                 const messaging::channel_pointer& channel);

    /// A question of a node that waits for a proof.
    struct pending_question {
        std::weak_ptr<messaging::frame_channel> channel;
        node_report report;
    };

    directory_metrics& metrics_;
    backend_list_sharing& list_;
    propagation_monitor& propagation_;
    failure_relay failures_;
    std::map<request_token, pending_question> questions_;
    request_token next_question_ = 1;
    std::size_t active_nodes_ = 0;
};

}  // namespace tallyfold::directory
