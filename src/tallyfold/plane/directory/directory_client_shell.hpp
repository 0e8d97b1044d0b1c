#pragma once
/// @file
/// Keeps a node up to date with the directory. Reports to the directory nodes in turn, so that an
/// isolated or lagging one cannot keep this node outdated, and receives what is newer. The
/// configuration, which may be large, is fetched separately (configuration_fetch). Owns the links
/// to the directory nodes and the state received from them. Runs on the loop thread.

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "tallyfold/plane/directory/configuration_fetch.hpp"
#include "tallyfold/plane/directory/configuration_proofs.hpp"
#include "tallyfold/plane/directory/messages.hpp"
#include "tallyfold/plane/discovery/earlier_format_list.hpp"
#include "tallyfold/plane/discovery/list_fetch.hpp"
#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::directory {

struct directory_client_settings {
    /// Interval between reports; adds half of it on average to the propagation of a change.
    duration report_interval = std::chrono::milliseconds(120);
    /// True for nodes whose reports must reach the leader: each report is sent to all directory
    /// nodes.
    bool reports_to_all = false;
    bool wants_configuration = true;
    /// Interval at which the proof that the configuration is the newest is renewed, even when no
    /// caller waits for one; zero disables renewal.
    duration proof_interval = duration::zero();
};

class directory_client {
  public:
    directory_client(net::node_process& process, directory_client_settings settings);

    using configuration_handler = std::function<void(const configuration_pointer&)>;
    using stores_handler = std::function<void(const turns::store_table&)>;
    /// @param describe_store returns the report of this node's store; null for other nodes
    void start(configuration_handler on_configuration, stores_handler on_stores,
               std::function<std::vector<store_report>()> describe_store);
    /// Keeps `list` up to date with the directory nodes' list of back ends.
    /// @param list outlives this client
    /// @param on_list called with what changed each time some node has polled the list, also when
    /// nothing changed
    void share_list(discovery::backend_list& list,
                    std::function<void(const discovery::list_changes&)> on_list);
    /// Number of active nodes that a directory node has named last; 0 when unknown.
    [[nodiscard]] std::size_t active_nodes() const { return active_nodes_; }
    /// Merges a group's map that was received from another source.
    void merge_map(const turns::store_map& map);
    /// Waits until it is proved that this node holds the configuration that was the newest at the
    /// time of the call, or until the limit. Concurrent callers share questions; a proof obtained
    /// immediately before is reused.
    /// @return false without a proof: this node may lag
    asio::awaitable<bool> refresh(duration limit);
    /// Sends to a directory node; the message is dropped while the node is not connected.
    void send_to(const node_name& address, const messaging::peer_message& message);
    using other_message_handler =
        std::function<void(const node_name& from, const messaging::peer_message&)>;
    /// @param handler receives the directory nodes' messages that are neither report answers nor
    /// configuration parts; each handler receives all of them
    void on_other_messages(other_message_handler handler) {
        other_message_handlers_.push_back(std::move(handler));
    }
    /// @param handler called when a directory node is connected, again after each loss
    void on_connected(std::function<void(const node_name&)> handler) {
        on_connected_ = std::move(handler);
    }
    /// Addresses of all known directory nodes, connected or not.
    [[nodiscard]] std::vector<node_name> addresses() const;
    /// True when the directory node is connected and supports the format.
    [[nodiscard]] bool supports(const node_name& address, protocol::format_version format) const;
    /// Reports to all directory nodes that a back end aborted a call.
    void report_failure(const backend_name& backend);
    /// @param handler receives the failures reported by other nodes; each is repeated until it
    /// expires
    void on_relayed_failures(
        std::function<void(const std::vector<discovery::relayed_failure>&)> handler) {
        on_relayed_failures_ = std::move(handler);
    }
    /// @param handler receives the zones whose back ends must get no new requests, when they change
    void on_evacuated_zones(std::function<void(const std::vector<std::string>&)> handler) {
        on_evacuated_zones_ = std::move(handler);
    }
    /// Records the leader named by a directory node, unless its term is older than the known one.
    void update_leader(const node_name& leader, consensus::term_number term);
    /// Address of the leader in the newest known term; empty when unknown.
    [[nodiscard]] const node_name& leader() const { return leader_; }
    /// Adds seeds after a change of the settings.
    void add_seeds(const std::vector<std::string>& peers);

    [[nodiscard]] const turns::store_table& stores() const { return stores_; }
    [[nodiscard]] routing::configuration_version version() const { return fetch_.version(); }
    [[nodiscard]] const configuration_proof& proof() const { return proofs_.newest(); }

  private:
    void report();
    /// @param format newest format that the directory node supports
    [[nodiscard]] node_report make_report(protocol::format_version format);
    /// Returns the next connected directory node, in round-robin order, that supports `format`;
    /// null when there is none.
    messaging::link_pointer next_link(protocol::format_version format);
    /// True when some directory nodes are connected and all of them support only format v1.
    [[nodiscard]] bool peers_support_only_first_format() const;
    void ask_for_proof();
    /// Requests a new proof when the last one becomes too old (proof_interval).
    void renew_proof(instant now);
    void log_loss(instant now);
    void log_recovery(routing::configuration_version version);
    void fetch(const node_name& from, const std::optional<configuration_request>& request);
    void on_part(const node_name& from, const configuration_part& part);
    /// Adopts the configuration in the answer, or starts to fetch it.
    void on_configuration_report(const node_name& from, const node_report_answer& answer);
    /// Handles a newer configuration.
    /// @param bytes number of bytes fetched; 0 when it was part of an answer
    void on_new_configuration(const node_name& from, std::uint64_t bytes, duration taken);
    void wake_waiters();
    void add_address(const std::string& address);
    void on_answer(const node_name& from, const node_report_answer& answer);
    /// Merges the store groups and, from nodes of earlier formats, the list in an answer.
    void merge_stores_and_list(const node_report_answer& answer);
    void on_list_status(const node_name& from, const discovery::list_status& status);
    void on_evacuations(const evacuation_status& status);
    void on_list_part(const node_name& from, const discovery::list_part& part);
    /// Dispatches a message of a directory node.
    void on_message(const node_name& from, const messaging::peer_message& message);
    void on_link_state(const node_name& address, bool up, const std::string& reason);

    net::node_process& process_;
    directory_client_settings settings_;
    std::map<std::string, messaging::link_pointer> links_;
    std::string last_asked_;
    turns::store_table stores_;
    configuration_fetch fetch_;
    configuration_proofs proofs_;
    /// Time of the last answer from any directory node.
    instant last_answer_at_{};
    /// True from the logged loss of all directory nodes until the next answer.
    bool is_loss_logged_ = false;
    configuration_handler on_configuration_;
    stores_handler on_stores_;
    std::function<std::vector<store_report>()> describe_store_;
    /// The list of back ends with its transfer; empty for nodes that do not use it.
    struct shared_list {
        explicit shared_list(discovery::backend_list& target)
            : list(target), fetch(target), earlier_format(target) {}
        discovery::backend_list& list;
        discovery::list_fetch fetch;
        discovery::earlier_format_list earlier_format;
        std::function<void(const discovery::list_changes&)> on_list;
    };

    std::optional<shared_list> list_;
    std::size_t active_nodes_ = 0;
    std::function<void(const std::vector<std::string>&)> on_evacuated_zones_;
    /// Revision of the evacuated zones that this node holds.
    std::uint64_t evacuation_revision_ = 0;
    std::vector<other_message_handler> other_message_handlers_;
    std::function<void(const node_name&)> on_connected_;
    std::function<void(const std::vector<discovery::relayed_failure>&)> on_relayed_failures_;
    node_name leader_;
    consensus::term_number term_ = 0;
    /// Earliest time of the next question for a proof.
    instant next_question_{};
    std::set<std::shared_ptr<asio::steady_timer>> waiting_;
};

}  // namespace tallyfold::directory
