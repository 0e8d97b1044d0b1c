#include "tallyfold/plane/directory/directory_shell.hpp"

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/base/net/socket_address.hpp"
#include "tallyfold/consensus/log_store.hpp"
#include "tallyfold/plane/directory/admin_api_shell.hpp"
#include "tallyfold/plane/directory/applied_state_cache.hpp"
#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/directory/failure_relay.hpp"
#include "tallyfold/plane/directory/version_tracker.hpp"
#include "tallyfold/plane/discovery/list_poller_shell.hpp"
#include "tallyfold/plane/discovery/poller_election.hpp"
#include "tallyfold/plane/messaging/link_log.hpp"
#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tallyfold/plane/process/instruments.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"
#include "tallyfold/plane/tenants/permit_lender.hpp"

namespace tallyfold::directory {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(20);
/// After a failed write the folder is opened anew this often.
constexpr duration reopen_interval = std::chrono::milliseconds(500);
/// A stopping node leaves after this time; the others elect at once when it led.
constexpr duration stop_delay = std::chrono::milliseconds(300);
/// Earlier lists of back ends that nodes may still hold, so that they are told differences.
constexpr std::size_t kept_lists = 8;
/// A node that doesn't lead asks the leader for the list this often.
constexpr duration list_question_interval = std::chrono::milliseconds(200);
/// How far a configuration has come is looked at this often.
constexpr duration spread_check_interval = std::chrono::milliseconds(200);
constexpr std::size_t largest_body = 8U << 20U;
constexpr std::uint64_t segment_bytes = 4U << 20U;

std::uint64_t draw_number() {
    std::random_device source;
    const std::uint64_t high = source();
    return std::max<std::uint64_t>(1, (high << 32U) ^ source());
}

class directory_node {
  public:
    directory_node(const settings::node_settings& settings, const admin_codec& codec,
                   const discovery::backend_list_codec& lists);
    int run();

  private:
    bool open_storage();
    void reopen_later();
    void renew_folder(const std::string& reason);
    void pump();
    bool make_durable(const consensus::group_write& write);
    void send(addressed_message message);
    messaging::link_pointer link_to(const node_name& address);
    /// Begins or ends keeping permits as this node's lead does, and takes over changed limits.
    void follow_keeping();
    void answer_permits(const messaging::channel_pointer& channel,
                        const tenants::permit_report& report);
    void answer_report(const messaging::channel_pointer& channel, const node_report& report);
    void end_proof(const directory_proof& proof);
    /// Tells operators how far the newest configuration has come.
    void follow_spread();
    void learn_list(const directory_beat& beat);
    void ask_leader_for_list();
    [[nodiscard]] bool reads_list() const;
    void receive(const messaging::channel_pointer& channel, const messaging::peer_message& message);
    [[nodiscard]] directory_settings core_settings() const;

    net::node_process process_;
    discovery::list_poller poller_;
    discovery::list_memory list_{kept_lists};
    messaging::peer_server peers_;
    http::endpoint_server operators_;
    std::map<std::string, messaging::link_pointer> links_;
    std::unique_ptr<storage::log_store> store_;
    std::unique_ptr<directory_core> core_;
    applied_state_cache notes_;
    /// A node that waits for proof that it holds the newest configuration.
    struct waiting_question {
        std::weak_ptr<messaging::frame_channel> channel;
        node_report report;
    };
    std::map<request_token, waiting_question> questions_;
    request_token next_question_ = 1;
    bool pumping_ = false;
    admin_api desk_;
    failure_relay breaks_;
    version_tracker versions_;
    tenants::permit_lender keeper_;
    /// Version of the limits that the keeper goes by; nothing while this node keeps no permits.
    std::optional<routing::configuration_version> keeping_;
    prometheus::Counter& writes_;
    prometheus::Counter& parts_given_;
    prometheus::Counter& part_bytes_;
    prometheus::Counter& proofs_given_;
    prometheus::Gauge& version_gauge_;
    prometheus::Gauge& behind_gauge_;
};

directory_node::directory_node(const settings::node_settings& settings, const admin_codec& codec,
                               const discovery::backend_list_codec& lists)
    : process_(settings),
      poller_(process_, lists),
      peers_(process_.loop(), settings.directory_listener()),
      operators_(process_.loop(), settings.operators_address, largest_body),
      notes_(settings.data_folder),
      desk_(process_, codec, core_, [this] { pump(); }),
      keeper_({process_.settings().quota_window, process_.settings().quota_overshoot,
               process_.settings().quota_slack, process_.settings().quota_lease}),
      writes_(net::add_counter(process_.metrics(), "tallyfold_directory_writes_total",
                               "Synced writes of the directory's log")),
      parts_given_(net::add_counter(process_.metrics(),
                                    "tallyfold_directory_configuration_parts_total",
                                    "Parts of configurations that were sent to nodes")),
      part_bytes_(net::add_counter(process_.metrics(),
                                   "tallyfold_directory_configuration_part_bytes_total",
                                   "Bytes of those parts")),
      proofs_given_(net::add_counter(process_.metrics(),
                                     "tallyfold_directory_configuration_proofs_total",
                                     "Questions answered with proof that nothing newer was in "
                                     "force")),
      version_gauge_(net::add_gauge(process_.metrics(), "tallyfold_directory_configuration_version",
                                    "Version of the configuration that this node has applied")),
      behind_gauge_(net::add_gauge(process_.metrics(), "tallyfold_directory_nodes_behind",
                                   "Nodes that last reported an older configuration")) {}

directory_settings directory_node::core_settings() const {
    const settings::node_settings& settings = process_.settings();
    directory_settings chosen;
    chosen.address = settings.directory_address();
    chosen.seeds = settings.seed_directories();
    chosen.first_start = settings.first_start;
    chosen.members.max_voters = 2 * settings.losses_borne + 3;
    chosen.members.fewest_voters = 2 * settings.losses_borne + 1;
    chosen.stores.losses = settings.losses_borne;
    chosen.seed = draw_number();
    return chosen;
}

void directory_node::renew_folder(const std::string& reason) {
    // What the folder holds can't be trusted: this node starts as another replica and learns
    // everything from its peers.
    logging::write_event(logging::event_id::identity_renewed, "reason=\"" + reason + "\"");
    storage::empty_folder(process_.settings().data_folder);
}

bool directory_node::open_storage() {
    const settings::node_settings& settings = process_.settings();
    const directory_settings chosen = core_settings();
    const bool is_seed =
        std::find(chosen.seeds.begin(), chosen.seeds.end(), chosen.address) != chosen.seeds.end();
    const consensus::replica_id fresh =
        settings.first_start && is_seed ? first_identity(chosen.address) : draw_number();
    auto opened = storage::log_store::open(settings.data_folder, fresh, segment_bytes,
                                           storage::tail_policy::cut_unsynced);
    if (!opened && opened.error().failure != storage::storage_failure::input_output) {
        renew_folder(opened.error().detail);
        opened = storage::log_store::open(settings.data_folder, draw_number(), segment_bytes,
                                          storage::tail_policy::cut_unsynced);
    }
    if (!opened) {
        logging::write_event(logging::event_id::storage_failed,
                             "reason=\"" + opened.error().detail + "\"");
        return false;
    }
    store_ = std::make_unique<storage::log_store>(std::move(*opened));
    const consensus::recovered_node& recovered = store_->recovered();
    const auto group = recovered.groups.find(configuration_group);
    logging::write_event(logging::event_id::storage_opened,
                         "identity=" + std::to_string(recovered.identity) +
                             " cut_bytes=" + std::to_string(recovered.cut_bytes));
    core_ = std::make_unique<directory_core>(
        chosen, recovered.identity,
        group == recovered.groups.end() ? consensus::recovered_state{} : group->second,
        http::steady_now());
    core_->remember(notes_.recall());
    return true;
}

messaging::link_pointer directory_node::link_to(const node_name& address) {
    messaging::link_pointer& link = links_[address];
    if (!link) {
        link = std::make_shared<messaging::peer_link>(process_.loop(), address);
        link->start(
            [this](const messaging::peer_message& message) {
                if (const auto* beat = std::get_if<directory_beat>(&message)) {
                    learn_list(*beat);
                }
            },
            [address](bool up, const std::string& reason) {
                messaging::log_link(address, "directory", up, reason);
            });
    }
    return link;
}

void directory_node::follow_keeping() {
    if (!core_ || !core_->leads()) {
        keeping_.reset();
        return;
    }
    const routing::configuration& held = core_->state().configuration();
    if (keeping_ == held.version) {
        return;
    }
    if (!keeping_) {
        keeper_.start(http::steady_now());
        logging::write_event(logging::event_id::quota_keeper_started,
                             "version=" + std::to_string(held.version) +
                                 " tenants=" + std::to_string(held.tenants.size()));
    }
    keeper_.use(held.tenants);
    keeping_ = held.version;
}

void directory_node::answer_permits(const messaging::channel_pointer& channel,
                                    const tenants::permit_report& report) {
    tenants::permit_answer answer;
    if (keeping_) {
        answer = keeper_.answer(report, http::steady_now());
    } else {
        answer.question = report.question;
        answer.outcome = tenants::permit_outcome::not_keeper;
    }
    answer.leader = core_->leader_address();
    answer.term = core_->term();
    channel->send(answer);
}

void directory_node::answer_report(const messaging::channel_pointer& channel,
                                   const node_report& report) {
    const instant now = http::steady_now();
    directory_beat beat = core_->receive(report, now);
    if (report.configuration != routing::no_version) {
        versions_.reported(report.node, report.configuration, now);
    }
    if (report.wants_list) {
        beat.list = list_.tell(report.list, std::chrono::milliseconds(report.list_age_ms), now);
    }
    beat.breaks = breaks_.tell(now);
    channel->send(beat);
    if (report.question != 0) {
        const request_token token = next_question_++;
        questions_[token] = {channel, report};
        core_->prove(token, now);
    }
}

void directory_node::end_proof(const directory_proof& proof) {
    const auto found = questions_.find(proof.token);
    if (found == questions_.end()) {
        return;
    }
    const messaging::channel_pointer channel = found->second.channel.lock();
    if (proof.proved && channel) {
        directory_beat beat = core_->beat_for(found->second.report);
        beat.question = found->second.report.question;
        channel->send(beat);
        proofs_given_.Increment();
    }
    questions_.erase(found);
}

void directory_node::follow_spread() {
    const instant now = http::steady_now();
    if (core_) {
        versions_.holds(core_->state().configuration().version, now);
    }
    if (const auto spread = versions_.check(now)) {
        logging::write_event(logging::event_id::configuration_spread,
                             "version=" + std::to_string(spread->version) +
                                 " nodes=" + std::to_string(spread->nodes) +
                                 " took_ms=" + std::to_string(to_milliseconds(spread->took)));
    }
    behind_gauge_.Set(static_cast<double>(versions_.behind()));
}

void directory_node::learn_list(const directory_beat& beat) {
    for (const discovery::list_sight& sight : beat.list) {
        list_.learn(sight, http::steady_now());
    }
}

void directory_node::ask_leader_for_list() {
    if (!core_ || core_->leads() || core_->leader_address().empty()) {
        return;
    }
    node_report report;
    report.node = process_.settings().node;
    // What the log holds comes over the log.
    report.stores = core_->state().stores().epoch;
    report.list = list_.fingerprint();
    const duration age = http::steady_now() - list_.seen();
    report.list_age_ms = static_cast<std::uint32_t>(list_.known() ? to_milliseconds(age) : 0);
    link_to(core_->leader_address())->send(report);
}

bool directory_node::reads_list() const {
    discovery::poller_election duty;
    duty.leads = core_ && core_->leads();
    duty.known = list_.known();
    duty.age = http::steady_now() - list_.seen();
    duty.rank = core_ ? core_->rank_behind_leader() : 0;
    return duty.reads();
}

void directory_node::send(addressed_message message) {
    if (message.to.empty() || message.to == process_.settings().directory_address()) {
        return;
    }
    const messaging::link_pointer link = link_to(message.to);
    if (auto* replica = std::get_if<consensus::replica_message>(&message.body)) {
        link->send(messaging::replica_envelope{process_.settings().directory_address(),
                                               std::move(*replica)});
    } else {
        link->send(std::get<join_request>(message.body));
    }
}

bool directory_node::make_durable(const consensus::group_write& write) {
    writes_.Increment();
    const auto written = store_->write({write});
    if (written) {
        return true;
    }
    logging::write_event(logging::event_id::storage_failed,
                         "reason=\"" + written.error().detail + "\"");
    // Nothing that isn't durable may be spoken of: this replica stands still until the folder
    // can be read back.
    store_.reset();
    core_.reset();
    questions_.clear();
    desk_.storage_lost();
    reopen_later();
    return false;
}

void directory_node::reopen_later() {
    process_.after(reopen_interval, [this] {
        if (!open_storage()) {
            reopen_later();
        }
    });
}

void directory_node::pump() {
    if (pumping_) {
        return;
    }
    pumping_ = true;
    while (core_) {
        directory_work work = core_->take_work();
        if (work.empty()) {
            break;
        }
        for (const logging::event_record& event : work.events) {
            logging::write_event(event);
        }
        for (addressed_message& message : work.before_sync) {
            send(std::move(message));
        }
        if (work.write.has_value()) {
            if (!make_durable(*work.write)) {
                break;
            }
            core_->persisted();
        }
        for (addressed_message& message : work.after_sync) {
            send(std::move(message));
        }
        for (const directory_answer& answer : work.answers) {
            desk_.answered(answer);
        }
        for (const directory_proof& proof : work.proofs) {
            end_proof(proof);
        }
        version_gauge_.Set(static_cast<double>(core_->state().configuration().version));
    }
    pumping_ = false;
}

void directory_node::receive(const messaging::channel_pointer& channel,
                             const messaging::peer_message& message) {
    if (!core_) {
        return;
    }
    const instant now = http::steady_now();
    if (const auto* envelope = std::get_if<messaging::replica_envelope>(&message)) {
        core_->receive(envelope->from, envelope->message, now);
    } else if (const auto* join = std::get_if<join_request>(&message)) {
        core_->receive(*join, now);
    } else if (const auto* report = std::get_if<node_report>(&message)) {
        answer_report(channel, *report);
    } else if (const auto* request = std::get_if<configuration_request>(&message)) {
        const configuration_part part = core_->receive(*request);
        parts_given_.Increment();
        part_bytes_.Increment(static_cast<double>(part.bytes.size()));
        channel->send(part);
    } else if (const auto* broken = std::get_if<discovery::failure_report>(&message)) {
        breaks_.note(broken->backend, now);
    } else if (const auto* permits = std::get_if<tenants::permit_report>(&message)) {
        answer_permits(channel, *permits);
    }
    pump();
}

int directory_node::run() {
    if (!open_storage()) {
        reopen_later();
    }
    std::string problem =
        peers_.start([this](const messaging::channel_pointer& channel,
                            const messaging::peer_message& message) { receive(channel, message); });
    if (problem.empty()) {
        problem = operators_.start(
            [this](http::endpoint_request request) { return desk_.serve(std::move(request)); });
    }
    if (!problem.empty()) {
        logging::write_event(logging::event_id::settings_refused, "reason=\"" + problem + "\"");
        return 1;
    }
    poller_.start(
        [this](const std::vector<discovery::listed_backend>& backends) {
            list_.see(backends, http::steady_now());
        },
        [this] { return reads_list(); });
    process_.every(list_question_interval, [this] { ask_leader_for_list(); });
    process_.every(spread_check_interval, [this] { follow_spread(); });
    process_.every(tick_interval, [this] {
        if (core_) {
            core_->tick(http::steady_now());
            pump();
        }
        if (core_) {
            notes_.note(core_->state(), http::steady_now());
        }
        follow_keeping();
        keeper_.expire(http::steady_now());
    });
    return process_.run([this] { process_.after(stop_delay, [this] { process_.finish(); }); },
                        [](const settings::node_settings&) {});
}

}  // namespace

int run_directory(const settings::node_settings& settings, const admin_codec& codec,
                  const discovery::backend_list_codec& lists) {
    return directory_node(settings, codec, lists).run();
}

}  // namespace tallyfold::directory
