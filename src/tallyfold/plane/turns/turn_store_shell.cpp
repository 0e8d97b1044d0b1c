#include "tallyfold/plane/turns/turn_store_shell.hpp"

#include <asio/post.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/directory/directory_client_shell.hpp"
#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tallyfold/plane/process/instruments.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"
#include "tallyfold/plane/turns/copy_timeout.hpp"
#include "tallyfold/plane/turns/store_fsm.hpp"
#include "tallyfold/plane/turns/turn_log.hpp"

namespace tallyfold::turns {

namespace {

constexpr duration expiry_interval = std::chrono::seconds(2);
/// Kept beyond the retention, for clocks that run apart and turns under way.
constexpr duration expiry_margin = std::chrono::seconds(15);
constexpr duration repair_interval = std::chrono::milliseconds(500);
/// A disk that goes on refusing is told this often.
constexpr duration failure_log_interval = std::chrono::seconds(2);
constexpr duration copy_check_interval = std::chrono::milliseconds(100);
/// Changes that one record of a new segment holds, about.
constexpr std::size_t segment_page_bytes = 64U << 10U;
constexpr duration stop_delay = std::chrono::milliseconds(300);
/// Turns of the loop that a write waits for more changes to join it.
constexpr int gathering_turns = 2;

store_id draw_identity() {
    std::random_device source;
    const std::uint64_t high = source();
    return std::max<std::uint64_t>(1, (high << 32U) ^ source());
}

class store_node {
  public:
    explicit store_node(const settings::node_settings& settings);
    int run();

  private:
    bool open_log();
    void receive(const messaging::channel_pointer& channel, const messaging::peer_message& message);
    void answer(const std::vector<addressed_reply>& replies);
    void gather();
    void gather(int turns_left);
    void write_waiting();
    bool make_durable(const store_write& write);
    /// @return false when the disk refused, which is logged
    bool begin_segment();
    void note_failure(const storage::storage_error& error);
    void repair();
    void use_stores(const store_table& stores);
    void copy_more();
    void check_copy_timeout();
    messaging::link_pointer link_to(const store_member& source);
    [[nodiscard]] directory::store_report describe() const;

    net::node_process process_;
    directory::directory_client directory_;
    messaging::peer_server peers_;
    std::optional<turn_log> log_;
    std::optional<store_fsm> store_;
    bool gathering_ = false;
    /// Connections that wait for a reply.
    std::map<peer_token, messaging::channel_pointer> callers_;
    peer_token next_caller_ = 1;
    std::map<std::string, messaging::link_pointer> sources_;
    map_epoch logged_copy_ = 0;
    store_id asked_source_ = 0;
    bool copying_ = false;
    copy_timeout copy_timeout_;
    bool ask_next_ = false;
    instant failure_logged_{};
    prometheus::Counter& changes_;
    prometheus::Counter& syncs_;
    prometheus::Counter& failures_;
    prometheus::Gauge& bytes_;
};

store_node::store_node(const settings::node_settings& settings)
    : process_(settings),
      directory_(process_, {std::chrono::milliseconds(300), true, false}),
      peers_(process_.loop(), settings.store_listener()),
      changes_(net::add_counter(process_.metrics(), "tallyfold_store_changes_total",
                                "Reservations and settlements taken")),
      syncs_(net::add_counter(process_.metrics(), "tallyfold_store_syncs_total", "Synced writes")),
      failures_(net::add_counter(process_.metrics(), "tallyfold_store_write_failures_total",
                                 "Writes that the disk refused")),
      bytes_(net::add_gauge(process_.metrics(), "tallyfold_store_turn_bytes",
                            "Bytes of the turns that are kept")) {}

bool store_node::open_log() {
    const std::string& folder = process_.settings().data_folder;
    turn_table recovered;
    // The age of what is read back isn't known: its retention starts anew, which keeps it longer.
    const instant now = http::steady_now();
    const auto take = [&recovered, now](const turn_change& change) {
        recovered.apply(change, now);
    };
    auto opened = turn_log::open(folder, draw_identity(), take);
    if (!opened && opened.error().failure != storage::storage_failure::input_output) {
        // The other stores hold what this folder lost: start as another store.
        logging::write_event(logging::event_id::identity_renewed,
                             "reason=\"" + opened.error().detail + "\"");
        storage::empty_folder(folder);
        recovered = turn_table{};
        opened = turn_log::open(folder, draw_identity(), take);
    }
    if (!opened) {
        logging::write_event(logging::event_id::storage_failed,
                             "reason=\"" + opened.error().detail + "\"");
        return false;
    }
    log_.emplace(std::move(*opened));
    store_.emplace(log_->identity(), log_->kept_map(), std::move(recovered));
    logging::write_event(logging::event_id::storage_opened,
                         "identity=" + std::to_string(log_->identity()) +
                             " turns=" + std::to_string(store_->turns().turn_count()) +
                             " programs=" + std::to_string(store_->turns().program_count()) +
                             " cut_bytes=" + std::to_string(log_->cut_bytes()));
    return true;
}

directory::store_report store_node::describe() const {
    const settings::node_settings& settings = process_.settings();
    return {{log_->identity(), settings.node, settings.store_address(), settings.zone},
            store_->copied_epoch()};
}

void store_node::receive(const messaging::channel_pointer& channel,
                         const messaging::peer_message& message) {
    const peer_token from = next_caller_++;
    std::vector<addressed_reply> replies;
    const map_epoch epoch = store_->map().epoch;
    callers_[from] = channel;
    if (const auto* begin = std::get_if<begin_request>(&message)) {
        changes_.Increment();
        replies = store_->receive(from, *begin);
    } else if (const auto* settle = std::get_if<settle_request>(&message)) {
        changes_.Increment();
        replies = store_->receive(from, *settle);
    } else if (const auto* history = std::get_if<history_request>(&message)) {
        replies = store_->receive(from, *history);
    } else if (const auto* find = std::get_if<find_request>(&message)) {
        replies = store_->receive(from, *find);
    } else if (const auto* copy = std::get_if<copy_request>(&message)) {
        replies = store_->receive(from, *copy);
    } else {
        callers_.erase(from);
    }
    if (store_->map().epoch > epoch) {
        directory_.learn_map(store_->map());
    }
    answer(replies);
    gather();
}

void store_node::answer(const std::vector<addressed_reply>& replies) {
    for (const addressed_reply& reply : replies) {
        const auto caller = callers_.find(reply.to);
        if (caller == callers_.end()) {
            continue;
        }
        const messaging::channel_pointer channel = caller->second;
        callers_.erase(caller);
        std::visit([&channel](const auto& body) { channel->send(body); }, reply.body);
    }
}

void store_node::gather() {
    if (!gathering_ && store_->has_work()) {
        gathering_ = true;
        gather(gathering_turns);
    }
}

void store_node::gather(int turns_left) {
    // What other connections have already delivered joins the same sync.
    asio::post(process_.loop(), [this, turns_left] {
        if (turns_left > 0) {
            gather(turns_left - 1);
            return;
        }
        gathering_ = false;
        write_waiting();
    });
}

void store_node::write_waiting() {
    const store_write write = store_->take_write();
    const bool durable = make_durable(write);
    const std::vector<addressed_reply> replies = store_->written(durable, http::steady_now());
    answer(replies);
    bytes_.Set(static_cast<double>(store_->turns().bytes()));
    if (durable && log_->wants_rotation()) {
        begin_segment();
    }
    if (!store_->has_work()) {
        // Whoever has no reply by now gets none.
        callers_.clear();
    }
    if (ask_next_) {
        ask_next_ = false;
        copy_more();
    }
    if (store_->copied_epoch() > logged_copy_) {
        logged_copy_ = store_->copied_epoch();
        logging::write_event(logging::event_id::store_copied,
                             "epoch=" + std::to_string(logged_copy_) +
                                 " turns=" + std::to_string(store_->turns().turn_count()) +
                                 " programs=" + std::to_string(store_->turns().program_count()));
    }
}

bool store_node::make_durable(const store_write& write) {
    if (write.empty()) {
        return true;
    }
    if (log_->failed()) {
        return false;
    }
    auto written = write.map.has_value() ? log_->keep_map(*write.map)
                                         : tl::expected<void, storage::storage_error>{};
    if (written && !write.changes.empty()) {
        syncs_.Increment();
        written = log_->append(write.changes);
    }
    if (!written) {
        note_failure(written.error());
    }
    return written.has_value();
}

void store_node::note_failure(const storage::storage_error& error) {
    failures_.Increment();
    const instant now = http::steady_now();
    if (now - failure_logged_ < failure_log_interval) {
        return;
    }
    failure_logged_ = now;
    logging::write_event(logging::event_id::storage_failed, "reason=\"" + error.detail + "\"");
}

bool store_node::begin_segment() {
    const turn_table& table = store_->turns();
    const auto pages = [&table](const std::string& from, std::string& next) {
        return table.missing_from({}, from, segment_page_bytes, next);
    };
    const auto rotated = log_->rotate(pages);
    if (!rotated) {
        note_failure(rotated.error());
    }
    return rotated.has_value();
}

void store_node::repair() {
    if (!log_->failed()) {
        return;
    }
    // A disk that was full may take a fresh segment again.
    if (begin_segment()) {
        logging::write_event(logging::event_id::storage_opened,
                             "identity=" + std::to_string(log_->identity()) + " turns=" +
                                 std::to_string(store_->turns().turn_count()) + " repaired=yes");
    }
}

void store_node::use_stores(const store_table& stores) {
    if (store_->learn_table(stores)) {
        logging::write_event(logging::event_id::store_map_changed, turns::describe(store_->map()));
    }
    gather();
    copy_more();
}

messaging::link_pointer store_node::link_to(const store_member& source) {
    messaging::link_pointer& link = sources_[source.address];
    if (!link) {
        link = std::make_shared<messaging::peer_link>(process_.loop(), source.address);
        link->start(
            [this](const messaging::peer_message& message) {
                if (const auto* reply = std::get_if<copy_reply>(&message)) {
                    store_->receive(*reply);
                    // Another disk at the asked one's address says nothing of the copy.
                    if (reply->store == asked_source_) {
                        copy_timeout_.page_received(http::steady_now());
                        ask_next_ = true;
                    }
                    gather();
                }
            },
            [this](bool up, const std::string&) {
                if (up) {
                    asio::post(process_.loop(), [this] { copy_more(); });
                }
            });
    }
    return link;
}

void store_node::copy_more() {
    const std::optional<copy_order> order = store_->next_copy();
    if (!order.has_value()) {
        sources_.clear();
        copying_ = false;
        copy_timeout_ = copy_timeout{};
        return;
    }
    copying_ = true;
    asked_source_ = order->source.id;
    copy_timeout_.page_requested(http::steady_now());
    link_to(order->source)->send(order->request);
}

void store_node::check_copy_timeout() {
    if (copying_ && copy_timeout_.expired(http::steady_now())) {
        store_->skip_copy_source();
        copy_more();
    }
}

int store_node::run() {
    if (!open_log()) {
        return 1;
    }
    const std::string problem =
        peers_.start([this](const messaging::channel_pointer& channel,
                            const messaging::peer_message& message) { receive(channel, message); });
    if (!problem.empty()) {
        logging::write_event(logging::event_id::settings_refused, "reason=\"" + problem + "\"");
        return 1;
    }
    directory_.start([](const directory::configuration_pointer&) {},
                     [this](const store_table& stores) { use_stores(stores); },
                     [this] { return std::vector<directory::store_report>{describe()}; });
    if (store_->map().epoch > 0) {
        directory_.learn_map(store_->map());
    }
    process_.every(expiry_interval, [this] { store_->expire(http::steady_now(), expiry_margin); });
    process_.every(repair_interval, [this] { repair(); });
    process_.every(copy_check_interval, [this] { check_copy_timeout(); });
    return process_.run([this] { process_.after(stop_delay, [this] { process_.finish(); }); },
                        [this](const settings::node_settings& settings) {
                            directory_.use_seeds(settings.seed_directories());
                        });
}

}  // namespace

int run_turn_store(const settings::node_settings& settings) {
    return store_node(settings).run();
}

}  // namespace tallyfold::turns
