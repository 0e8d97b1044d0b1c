#include "tallyfold/plane/turns/turn_store_shell.hpp"

#include <asio/post.hpp>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/directory/directory_client_shell.hpp"
#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tallyfold/plane/process/instruments.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"
#include "tallyfold/plane/streams/origin_table.hpp"
#include "tallyfold/plane/turns/copy_client_shell.hpp"
#include "tallyfold/plane/turns/repair_client_shell.hpp"
#include "tallyfold/plane/turns/store_folder_shell.hpp"
#include "tallyfold/plane/turns/store_writer_shell.hpp"

namespace tallyfold::turns {

namespace {

/// Interval of the removal of expired turns, which visits every turn.
constexpr duration expiry_interval = std::chrono::seconds(2);
/// Time that turns are kept beyond their retention, for clock skew and turns under way. Ten times
/// the 1.5 s that a begin may take.
constexpr duration expiry_margin = std::chrono::seconds(15);
/// Interval between attempts to restore a failed log; each attempt costs a sync.
constexpr duration repair_interval = std::chrono::milliseconds(500);
/// Interval of timeout checks; well below copy_timeout::min_timeout.
constexpr duration copy_check_interval = std::chrono::milliseconds(100);
/// Interval at which due requests of the repair are sent.
constexpr duration repair_check_interval = std::chrono::milliseconds(100);
/// Interval of reports to the directory; well below the time after which a store counts as silent.
constexpr duration report_interval = std::chrono::milliseconds(300);
/// Time that requests are still served after a stop was requested, so that pending writes end and
/// are answered.
constexpr duration stop_delay = std::chrono::milliseconds(300);
/// Rounds of the event loop that a write waits so that further requests join its sync; enough to
/// read what other connections have already received.
constexpr int batching_rounds = 2;

class store_node {
  public:
    store_node(net::node_process& process, opened_store opened);
    int run();

  private:
    void receive(const messaging::channel_pointer& channel, const messaging::peer_message& message);
    /// Passes a request to the state machine. @return replies that depend on no write
    std::vector<addressed_reply> dispatch(peer_token from, const messaging::peer_message& message);
    /// Handles messages about origins of streams, which depend on no write. @return false for other
    /// messages
    bool handle_origin(const messaging::channel_pointer& channel,
                       const messaging::peer_message& message);
    void send(const std::vector<addressed_reply>& replies);
    /// Schedules a write of the queued messages after `batching_rounds` rounds of the event loop.
    void schedule_write();
    void write_after_rounds(int rounds);
    void write_queued();
    void log_completed_copy();
    void on_store_table(const store_table& stores);
    /// Sends the repair's next request if it is due, and updates the gauges of the repair.
    void continue_repair();
    /// This store's report to the directory; empty while it stops.
    [[nodiscard]] std::vector<directory::store_report> describe() const;

    net::node_process& process_;
    directory::directory_client directory_;
    messaging::peer_server peers_;
    store_fsm store_;
    store_writer writer_;
    copy_client copy_;
    repair_client repair_;
    streams::origin_table origins_;
    /// True while a write is scheduled.
    bool write_scheduled_ = false;
    /// True once a stop was requested.
    bool stopping_ = false;
    /// Channels of the requests that have no reply yet.
    std::map<peer_token, messaging::channel_pointer> reply_channels_;
    peer_token next_token_ = 1;
    map_epoch logged_copy_epoch_ = 0;
    prometheus::Counter& changes_;
    prometheus::Gauge& bytes_;
    prometheus::Gauge& missing_requests_;
    prometheus::Gauge& oldest_comparison_;
    prometheus::Counter& repaired_requests_;
    prometheus::Gauge& stream_origins_;
};

store_node::store_node(net::node_process& process, opened_store opened)
    : process_(process),
      directory_(process_, {report_interval, true, false}),
      peers_(process_.loop(), process_.settings().store_listener(), &process_.clients()),
      store_(std::move(opened.state)),
      writer_(std::move(opened.log), process_.metrics()),
      copy_(process_.loop(), store_, [this] { schedule_write(); }),
      repair_(process_.loop(), store_, [this] { schedule_write(); }),
      changes_(net::add_counter(process_.metrics(), "tallyfold_store_changes_total",
                                "Reservations and settlements taken")),
      bytes_(net::add_gauge(process_.metrics(), "tallyfold_store_turn_bytes",
                            "Bytes of the turns that are kept")),
      missing_requests_(net::add_gauge(process_.metrics(), "tallyfold_store_missing_requests",
                                       "Requests that another member holds and that are not "
                                       "fetched yet")),
      oldest_comparison_(net::add_gauge(process_.metrics(),
                                        "tallyfold_store_oldest_comparison_seconds",
                                        "Longest time since a complete comparison with a member")),
      repaired_requests_(net::add_counter(process_.metrics(),
                                          "tallyfold_store_repaired_requests_total",
                                          "Missed requests that were fetched from members")),
      stream_origins_(net::add_gauge(process_.metrics(), "tallyfold_store_stream_origins",
                                     "Resumable streams whose origin is known")) {}

std::vector<directory::store_report> store_node::describe() const {
    // A stopping store does not report, so that a spare begins to copy in its place without delay.
    if (stopping_) {
        return {};
    }
    const settings::node_settings& settings = process_.settings();
    return {{{writer_.identity(), settings.node, settings.store_address(), settings.zone},
             store_.copied_epoch()}};
}

std::vector<addressed_reply> store_node::dispatch(peer_token from,
                                                  const messaging::peer_message& message) {
    if (const auto* begin = std::get_if<begin_request>(&message)) {
        changes_.Increment();
        return store_.receive(from, *begin);
    }
    if (const auto* settle = std::get_if<settle_request>(&message)) {
        changes_.Increment();
        return store_.receive(from, *settle);
    }
    if (const auto* history = std::get_if<history_request>(&message)) {
        return store_.receive(from, *history);
    }
    if (const auto* find = std::get_if<find_request>(&message)) {
        return store_.receive(from, *find);
    }
    if (const auto* copy = std::get_if<copy_request>(&message)) {
        return store_.receive(from, *copy);
    }
    if (const auto* comparison = std::get_if<comparison_request>(&message)) {
        return store_.receive(from, *comparison, steady_now());
    }
    if (const auto* records = std::get_if<records_request>(&message)) {
        return store_.receive(from, *records, steady_now());
    }
    // Not a request to a store, so there is no reply.
    reply_channels_.erase(from);
    return {};
}

bool store_node::handle_origin(const messaging::channel_pointer& channel,
                               const messaging::peer_message& message) {
    if (const auto* record = std::get_if<streams::origin_record>(&message)) {
        origins_.record(*record, steady_now());
        stream_origins_.Set(static_cast<double>(origins_.size()));
        return true;
    }
    if (const auto* query = std::get_if<streams::origin_query>(&message)) {
        channel->send(streams::origin_answer{query->query, store_.self(),
                                             origins_.find(query->stream, steady_now())});
        return true;
    }
    return false;
}

void store_node::receive(const messaging::channel_pointer& channel,
                         const messaging::peer_message& message) {
    if (handle_origin(channel, message)) {
        return;
    }
    const peer_token from = next_token_++;
    const map_epoch epoch = store_.map().epoch;
    reply_channels_[from] = channel;
    const std::vector<addressed_reply> replies = dispatch(from, message);
    if (store_.map().epoch > epoch) {
        directory_.merge_map(store_.map());
        repair_.update_group();
    }
    send(replies);
    schedule_write();
}

void store_node::send(const std::vector<addressed_reply>& replies) {
    for (const addressed_reply& reply : replies) {
        const auto caller = reply_channels_.find(reply.to);
        if (caller == reply_channels_.end()) {
            continue;
        }
        const messaging::channel_pointer channel = caller->second;
        reply_channels_.erase(caller);
        std::visit([&channel](const auto& body) { channel->send(body); }, reply.body);
    }
}

void store_node::schedule_write() {
    if (!write_scheduled_ && store_.has_pending_write()) {
        write_scheduled_ = true;
        write_after_rounds(batching_rounds);
    }
}

void store_node::write_after_rounds(int rounds) {
    asio::post(process_.loop(), [this, rounds] {
        if (rounds > 0) {
            write_after_rounds(rounds - 1);
            return;
        }
        write_scheduled_ = false;
        write_queued();
    });
}

void store_node::write_queued() {
    const store_write write = store_.begin_write();
    const bool durable = writer_.make_durable(write);
    send(store_.finish_write(durable, steady_now()));
    bytes_.Set(static_cast<double>(store_.turns().bytes()));
    if (durable) {
        writer_.rotate_if_grown(store_.turns());
    }
    if (!store_.has_pending_write()) {
        // All replies have been sent; the remaining requests get none.
        reply_channels_.clear();
    }
    copy_.on_page_written();
    repair_.on_written();
    log_completed_copy();
}

void store_node::log_completed_copy() {
    if (store_.copied_epoch() <= logged_copy_epoch_) {
        return;
    }
    logged_copy_epoch_ = store_.copied_epoch();
    logging::write_event(logging::event_id::store_copied,
                         "epoch=" + std::to_string(logged_copy_epoch_) +
                             " turns=" + std::to_string(store_.turns().turn_count()) +
                             " programs=" + std::to_string(store_.turns().program_count()));
}

void store_node::on_store_table(const store_table& stores) {
    if (store_.learn_table(stores)) {
        logging::write_event(logging::event_id::store_map_changed, turns::describe(store_.map()));
    }
    schedule_write();
    copy_.request_page();
    repair_.update_group();
}

void store_node::continue_repair() {
    repair_.send_due_request();
    const group_repair& repair = repair_.repair();
    missing_requests_.Set(static_cast<double>(repair.missing_count()));
    repaired_requests_.Increment(static_cast<double>(repair.repaired_count()) -
                                 repaired_requests_.Value());
    oldest_comparison_.Set(
        std::chrono::duration<double>(repair.oldest_comparison(steady_now())).count());
}

int store_node::run() {
    const std::string problem =
        peers_.start([this](const messaging::channel_pointer& channel,
                            const messaging::peer_message& message) { receive(channel, message); });
    if (!problem.empty()) {
        logging::write_event(logging::event_id::settings_refused, "reason=\"" + problem + "\"");
        return 1;
    }
    directory_.start([](const directory::configuration_pointer&) {},
                     [this](const store_table& stores) { on_store_table(stores); },
                     [this] { return describe(); });
    if (store_.map().epoch > 0) {
        directory_.merge_map(store_.map());
    }
    process_.run_every(expiry_interval, [this] { store_.expire(steady_now(), expiry_margin); });
    process_.run_every(repair_interval, [this] { writer_.repair(store_.turns()); });
    process_.run_every(copy_check_interval, [this] { copy_.check_timeout(); });
    process_.run_every(repair_check_interval, [this] { continue_repair(); });
    return process_.run(
        [this] {
            stopping_ = true;
            process_.run_after(stop_delay, [this] { process_.finish(); });
        },
        [this](const settings::node_settings& settings) {
            directory_.add_seeds(settings.seed_directories());
        });
}

}  // namespace

int run_turn_store(const settings::node_settings& settings) {
    net::node_process process(settings);
    std::optional<opened_store> opened = open_store(process.settings().data_folder);
    if (!opened.has_value()) {
        return 1;
    }
    return store_node(process, std::move(*opened)).run();
}

}  // namespace tallyfold::turns
