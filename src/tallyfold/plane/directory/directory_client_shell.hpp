#pragma once
/// @file
/// Keeps a node up to date with the directory: it reports to one directory node after another and
/// gets what is newer than what it holds, so no single node that is cut off or behind can keep it
/// stale. The configuration, which may be large, is fetched apart, once (configuration_fetch).
/// Owns the links to the directory nodes and what is known from them. Belongs to the loop thread.

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
#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::directory {

struct directory_client_settings {
    /// Chosen, not measured: half of it is added to the propagation of a change on the mean
    /// (docs/design/configuration-spread.md weighs a watch instead).
    duration report_interval = std::chrono::milliseconds(120);
    /// True for nodes that the leader has to hear: each report goes to all directory nodes.
    bool reports_to_all = false;
    bool wants_configuration = true;
    /// Proof that the configuration is the newest is renewed this often, without anybody waiting
    /// for it; never when zero.
    duration proof_interval = duration::zero();
};

class directory_client {
  public:
    directory_client(net::node_process& process, directory_client_settings settings);

    using configuration_handler = std::function<void(const configuration_pointer&)>;
    using stores_handler = std::function<void(const turns::store_table&)>;
    /// @param describe_store what a store says of itself; empty for other nodes
    void start(configuration_handler on_configuration, stores_handler on_stores,
               std::function<std::vector<store_report>()> describe_store);
    /// Keeps `list` up to date with what directory nodes know of the back ends.
    /// @param on_list called after each answer that says something of it
    void share_list(discovery::list_memory& list, std::function<void(bool changed)> on_list);
    /// Takes over a group's map that came from elsewhere.
    void learn_map(const turns::store_map& map);
    /// Waits until it is proved that this node holds the configuration that was the newest when
    /// this was called, or until the limit. All who wait share the questions; one that was asked
    /// and answered just now is enough.
    /// @return false when there is no proof: this node may be behind
    asio::awaitable<bool> refresh(duration limit);
    /// Sends to a directory node; dropped while it isn't connected.
    void send_to(const node_name& address, const messaging::peer_message& message);
    /// @param handler gets the directory nodes' messages that aren't answers to reports
    void on_other_messages(std::function<void(const messaging::peer_message&)> handler) {
        on_other_ = std::move(handler);
    }
    /// Tells all directory nodes that a back end broke a call off.
    void report_failure(const backend_name& backend);
    /// @param handler gets what other nodes have told of breaks, again and again while it is young
    void on_relayed_failures(
        std::function<void(const std::vector<discovery::relayed_failure>&)> handler) {
        on_relayed_failures_ = std::move(handler);
    }
    /// A directory node has said who leads.
    void learn_leader(const node_name& leader, consensus::term_number term);
    /// Who leads, by the newest term heard of; empty while none is known.
    [[nodiscard]] const node_name& leader() const { return leader_; }
    /// The settings changed: other seeds may be known.
    void use_seeds(const std::vector<std::string>& peers);

    [[nodiscard]] const turns::store_table& stores() const { return stores_; }
    [[nodiscard]] routing::configuration_version version() const { return fetch_.version(); }
    [[nodiscard]] const configuration_proof& proof() const { return proofs_.newest(); }

  private:
    void report();
    [[nodiscard]] node_report make_report() const;
    /// The next connected directory node in turn that knows `format`; null when there is none.
    messaging::link_pointer next_link(protocol::format_version format);
    /// True when no directory node that is connected knows more than the first form.
    [[nodiscard]] bool knows_first_format_alone() const;
    void ask_for_proof();
    /// Asks for proof when nobody waits for it but the last one grows old (proof_interval).
    void renew_proof(instant now);
    void log_silence(instant now);
    void log_answer(routing::configuration_version version);
    void fetch(const node_name& from, const std::optional<configuration_request>& request);
    void on_part(const node_name& from, const configuration_part& part);
    /// Takes over the configuration that an answer names, or has it fetched.
    void learn_configuration(const node_name& from, const node_report_answer& answer);
    /// A newer configuration is held. @param bytes of what was fetched; 0 when it came in an answer
    void use_configuration(const node_name& from, std::uint64_t bytes, duration taken);
    void wake_waiting();
    void add_address(const std::string& address);
    void on_answer(const node_name& from, const node_report_answer& answer);
    /// Takes over what an answer says of the store groups and of the list of back ends.
    void learn_stores_and_list(const node_report_answer& answer);

    net::node_process& process_;
    directory_client_settings settings_;
    std::map<std::string, messaging::link_pointer> links_;
    std::string last_asked_;
    turns::store_table stores_;
    configuration_fetch fetch_;
    configuration_proofs proofs_;
    /// When any directory node answered last.
    instant heard_{};
    /// True while the loss of all directory nodes is logged.
    bool is_lost_ = false;
    configuration_handler on_configuration_;
    stores_handler on_stores_;
    std::function<std::vector<store_report>()> describe_store_;
    discovery::list_memory* list_ = nullptr;
    std::function<void(bool changed)> on_list_;
    std::function<void(const messaging::peer_message&)> on_other_;
    std::function<void(const std::vector<discovery::relayed_failure>&)> on_relayed_failures_;
    node_name leader_;
    consensus::term_number term_ = 0;
    /// When the next question for proof may be asked.
    instant next_question_{};
    std::set<std::shared_ptr<asio::steady_timer>> waiting_;
};

}  // namespace tallyfold::directory
