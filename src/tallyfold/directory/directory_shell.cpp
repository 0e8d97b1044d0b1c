#include "tallyfold/directory/directory_shell.hpp"

#include <array>
#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <random>

#include "tallyfold/common/hash.hpp"
#include "tallyfold/directory/directory_core.hpp"
#include "tallyfold/listing/list_poller_shell.hpp"
#include "tallyfold/logging/event_log.hpp"
#include "tallyfold/messaging/peer_link_shell.hpp"
#include "tallyfold/net/node_process_shell.hpp"
#include "tallyfold/net/socket_address.hpp"
#include "tallyfold/storage/log_store.hpp"

namespace tallyfold::directory {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(20);
/// After a failed write the folder is opened anew this often.
constexpr duration reopen_interval = std::chrono::milliseconds(500);
/// An operator's call waits this long for the log; its caller moves on after a second.
constexpr duration answer_limit = std::chrono::milliseconds(900);
/// A stopping node leaves after this time; the others elect at once when it led.
constexpr duration stop_delay = std::chrono::milliseconds(300);
constexpr std::size_t largest_body = 8U << 20U;
constexpr std::uint64_t segment_bytes = 4U << 20U;
/// Hold the state applied last and the one before: written in turn, so that a lost power tears one
/// of them at most.
constexpr std::array<const char*, 2> applied_files{"/applied-state-0", "/applied-state-1"};

std::uint64_t draw_number() {
    std::random_device source;
    const std::uint64_t high = source();
    return std::max<std::uint64_t>(1, (high << 32U) ^ source());
}

/// One operator's call that waits for the log.
struct waiting_call {
    explicit waiting_call(asio::io_context& loop) : timer(loop, answer_limit) {}
    asio::steady_timer timer;
    answer_kind kind = answer_kind::unknown;
};

class directory_node {
  public:
    directory_node(const settings::node_settings& settings, const operator_dialect& dialect,
                   const listing::list_dialect& lists);
    int run();

  private:
    bool open_storage();
    void renew_folder(const std::string& reason);
    void pump();
    bool make_durable(const consensus::group_write& write);
    void recall_state();
    void note_state();
    void send(addressed_message message);
    void receive(const messaging::channel_pointer& channel, const messaging::peer_message& message);
    asio::awaitable<http::endpoint_response> serve(http::endpoint_request request);
    asio::awaitable<http::endpoint_response> replace(const http::endpoint_request& request,
                                                     const replace_call& call);
    asio::awaitable<http::endpoint_response> describe(const http::endpoint_request& request);
    asio::awaitable<http::endpoint_response> retire(const http::endpoint_request& request,
                                                    const std::string& node);
    asio::awaitable<http::endpoint_response> retire_state(const http::endpoint_request& request,
                                                          const std::string& node);
    asio::awaitable<answer_kind> submit(directory_command command);
    asio::awaitable<answer_kind> confirm();
    asio::awaitable<answer_kind> wait(request_token token);
    http::endpoint_response failed(const http::endpoint_request& request, answer_kind kind) const;
    [[nodiscard]] directory_settings core_settings() const;

    net::node_process process_;
    const operator_dialect& dialect_;
    listing::list_poller poller_;
    listing::list_memory list_;
    messaging::peer_server peers_;
    http::endpoint_server operators_;
    std::map<std::string, messaging::link_pointer> links_;
    std::unique_ptr<storage::log_store> store_;
    std::unique_ptr<directory_core> core_;
    bool pumping_ = false;
    /// Version and epoch of the state that was noted last.
    std::pair<routing::configuration_version, turns::map_epoch> noted_{};
    std::size_t next_note_ = 0;
    std::map<request_token, std::shared_ptr<waiting_call>> waiting_;
    request_token next_token_ = 1;
    prometheus::Counter& writes_;
    prometheus::Counter& calls_;
    prometheus::Gauge& version_gauge_;
};

prometheus::Counter& counter(prometheus::Registry& registry, const std::string& name,
                             const std::string& help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const std::string& name,
                         const std::string& help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

directory_node::directory_node(const settings::node_settings& settings,
                               const operator_dialect& dialect, const listing::list_dialect& lists)
    : process_(settings),
      dialect_(dialect),
      poller_(process_, lists),
      peers_(process_.loop(), settings.directory_listener()),
      operators_(process_.loop(), settings.operators_address, largest_body),
      writes_(counter(process_.metrics(), "tallyfold_directory_writes_total",
                      "Synced writes of the directory's log")),
      calls_(counter(process_.metrics(), "tallyfold_directory_operator_calls_total",
                     "Calls of operators")),
      version_gauge_(gauge(process_.metrics(), "tallyfold_directory_configuration_version",
                           "Version of the configuration that this node has applied")) {}

directory_settings directory_node::core_settings() const {
    const settings::node_settings& settings = process_.settings();
    directory_settings chosen;
    chosen.address = settings.directory_address();
    chosen.seeds = settings.seed_directories();
    chosen.first_start = settings.first_start;
    chosen.members.most_voters = 2 * settings.losses_borne + 3;
    chosen.members.fewest_voters = 2 * settings.losses_borne + 1;
    chosen.stores.losses = settings.losses_borne;
    chosen.seed = draw_number();
    return chosen;
}

void directory_node::renew_folder(const std::string& reason) {
    // What the folder holds can't be trusted: this node starts as another replica and learns
    // everything from its peers.
    logging::write_event(logging::event_id::identity_renewed, "reason=\"" + reason + "\"");
    std::error_code ignored;
    for (const auto& entry :
         std::filesystem::directory_iterator(process_.settings().data_folder, ignored)) {
        std::filesystem::remove_all(entry.path(), ignored);
    }
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
    recall_state();
    return true;
}

void directory_node::recall_state() {
    directory_state newest;
    for (std::size_t number = 0; number < applied_files.size(); ++number) {
        const std::string path = process_.settings().data_folder + applied_files[number];
        const auto bytes = storage::read_file(path);
        if (!bytes) {
            continue;
        }
        const auto scanned = storage::scan_records(*bytes, path);
        if (!scanned || scanned->payloads.size() != 1) {
            continue;
        }
        directory_state earlier;
        earlier.restore(std::string(scanned->payloads.front()));
        const std::pair found{earlier.configuration().version, earlier.map().epoch};
        if (found > std::pair{newest.configuration().version, newest.map().epoch}) {
            newest = std::move(earlier);
            next_note_ = 1 - number;
        }
    }
    core_->remember(std::move(newest));
}

void directory_node::note_state() {
    const std::pair now{core_->state().configuration().version, core_->state().map().epoch};
    if (now == noted_) {
        return;
    }
    noted_ = now;
    std::string bytes;
    storage::append_record(bytes, core_->state().save());
    const std::string path = process_.settings().data_folder + applied_files[next_note_];
    if (storage::overwrite_file(path, bytes)) {
        next_note_ = 1 - next_note_;
    }
}

void directory_node::send(addressed_message message) {
    if (message.to.empty() || message.to == process_.settings().directory_address()) {
        return;
    }
    auto& link = links_[message.to];
    if (!link) {
        link = std::make_shared<messaging::peer_link>(process_.loop(), message.to);
        link->start([](const messaging::peer_message&) {},
                    [address = message.to](bool up, const std::string& reason) {
                        logging::write_event(
                            up ? logging::event_id::peer_connected : logging::event_id::peer_lost,
                            "peer=" + address + " role=directory" +
                                (up ? std::string{} : " reason=\"" + reason + "\""));
                    });
    }
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
    for (auto& [token, call] : waiting_) {
        call->timer.cancel();
    }
    process_.after(reopen_interval, [this] {
        struct retry {
            directory_node* node;
            void operator()() const {
                if (!node->open_storage()) {
                    node->process_.after(reopen_interval, *this);
                }
            }
        };
        retry{this}();
    });
    return false;
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
            const auto found = waiting_.find(answer.token);
            if (found != waiting_.end()) {
                found->second->kind = answer.kind;
                found->second->timer.cancel();
            }
        }
        note_state();
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
        directory_beat beat = core_->receive(*report, now);
        if (report->wants_configuration) {
            beat.list = list_.tell(report->list, now);
        }
        channel->send(beat);
    }
    pump();
}

asio::awaitable<answer_kind> directory_node::wait(request_token token) {
    auto call = std::make_shared<waiting_call>(process_.loop());
    waiting_[token] = call;
    pump();
    if (call->kind == answer_kind::unknown) {
        co_await call->timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    }
    waiting_.erase(token);
    co_return call->kind;
}

asio::awaitable<answer_kind> directory_node::submit(directory_command command) {
    const request_token token = next_token_++;
    core_->submit(token, command);
    co_return co_await wait(token);
}

asio::awaitable<answer_kind> directory_node::confirm() {
    const request_token token = next_token_++;
    core_->confirm(token, http::steady_now());
    co_return co_await wait(token);
}

http::endpoint_response directory_node::failed(const http::endpoint_request& request,
                                               answer_kind kind) const {
    if (kind != answer_kind::not_leader || !core_ || core_->leader_address().empty() ||
        core_->leads()) {
        return dialect_.refused(503, "no majority has confirmed this call; ask again");
    }
    // Operators' interfaces have the same port on every machine.
    const std::string& own = process_.settings().operators_address;
    const std::string port = own.substr(own.rfind(':'));
    return dialect_.redirect(net::ip_of(core_->leader_address()) + port, request.target);
}

asio::awaitable<http::endpoint_response> directory_node::replace(
    const http::endpoint_request& request, const replace_call& call) {
    const routing::configuration_version version = call.parsed.version;
    // Named, since GCC 12 destroys aggregate temporaries of a co_await twice.
    directory_command command = replace_configuration{call.parsed, call.text};
    const answer_kind kind = co_await submit(std::move(command));
    logging::write_event(
        logging::event_id::configuration_changed,
        "version=" + std::to_string(version) + " outcome=" +
            (kind == answer_kind::done
                 ? "taken"
                 : (kind == answer_kind::not_leader ? "not_leader" : "unknown")) +
            " held=" + std::to_string(core_ ? core_->state().configuration().version : 0));
    co_return kind == answer_kind::done ? dialect_.accepted() : failed(request, kind);
}

asio::awaitable<http::endpoint_response> directory_node::describe(
    const http::endpoint_request& request) {
    const answer_kind kind = co_await confirm();
    if (kind != answer_kind::done || !core_) {
        co_return failed(request, kind);
    }
    if (core_->state().configuration().version == routing::no_version) {
        co_return dialect_.refused(503, "no configuration is known yet");
    }
    co_return dialect_.configuration(core_->state().configuration_text());
}

asio::awaitable<http::endpoint_response> directory_node::retire(
    const http::endpoint_request& request, const std::string& node) {
    const answer_kind confirmed = co_await confirm();
    if (confirmed != answer_kind::done || !core_) {
        co_return failed(request, confirmed);
    }
    for (const auto& [id, name] : core_->state().retired()) {
        if (name == node) {
            co_return dialect_.accepted();
        }
    }
    bool known = false;
    for (const turns::store_member& member : core_->state().map().all()) {
        known = known || member.node == node;
    }
    if (!known) {
        co_return dialect_.refused(404, "no such store");
    }
    if (!core_->may_retire(node)) {
        co_return dialect_.refused(409, "too few stores would be left");
    }
    directory_command command = retire_store{node};
    const answer_kind kind = co_await submit(std::move(command));
    co_return kind == answer_kind::done ? dialect_.accepted() : failed(request, kind);
}

asio::awaitable<http::endpoint_response> directory_node::retire_state(
    const http::endpoint_request& request, const std::string& node) {
    const answer_kind confirmed = co_await confirm();
    if (confirmed != answer_kind::done || !core_) {
        co_return failed(request, confirmed);
    }
    bool asked = false;
    for (const auto& [id, name] : core_->state().retired()) {
        asked = asked || name == node;
    }
    if (!asked) {
        co_return dialect_.refused(404, "nobody asked to empty this store");
    }
    bool left = false;
    for (const turns::store_member& member : core_->state().map().all()) {
        left = left || (member.node == node && core_->state().retired().contains(member.id));
    }
    co_return dialect_.retirement(left ? retire_progress::running : retire_progress::succeeded);
}

asio::awaitable<http::endpoint_response> directory_node::serve(http::endpoint_request request) {
    calls_.Increment();
    const operator_call call = dialect_.parse(request);
    if (const auto* invalid = std::get_if<invalid_call>(&call)) {
        logging::write_event(logging::event_id::admin_denied,
                             "call=\"" + request.method + " " + request.target +
                                 "\" status=" + std::to_string(invalid->status) + " reason=\"" +
                                 invalid->reason + "\"");
        co_return dialect_.refused(invalid->status, invalid->reason);
    }
    if (!core_) {
        co_return dialect_.refused(503, "the data folder can't be used now");
    }
    if (const auto* change = std::get_if<replace_call>(&call)) {
        co_return co_await replace(request, *change);
    }
    if (const auto* start = std::get_if<retire_call>(&call)) {
        co_return co_await retire(request, start->node);
    }
    if (const auto* state = std::get_if<retire_state_call>(&call)) {
        co_return co_await retire_state(request, state->node);
    }
    co_return co_await describe(request);
}

int directory_node::run() {
    if (!open_storage()) {
        process_.after(reopen_interval, [this] { open_storage(); });
    }
    std::string problem =
        peers_.start([this](const messaging::channel_pointer& channel,
                            const messaging::peer_message& message) { receive(channel, message); });
    if (problem.empty()) {
        problem = operators_.start(
            [this](http::endpoint_request request) { return serve(std::move(request)); });
    }
    if (!problem.empty()) {
        logging::write_event(logging::event_id::settings_refused, "reason=\"" + problem + "\"");
        return 1;
    }
    poller_.start(
        [this](const std::vector<listing::listed_backend>& backends) {
            list_.see(backends, http::steady_now());
        },
        [] { return true; });
    process_.every(tick_interval, [this] {
        if (core_) {
            core_->tick(http::steady_now());
            pump();
        }
    });
    return process_.run([this] { process_.after(stop_delay, [this] { process_.finish(); }); },
                        [](const settings::node_settings&) {});
}

}  // namespace

int run_directory(const settings::node_settings& settings, const operator_dialect& dialect,
                  const listing::list_dialect& lists) {
    return directory_node(settings, dialect, lists).run();
}

}  // namespace tallyfold::directory
