#include "tallyfold/turns/turn_store_shell.hpp"

#include <asio/post.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "tallyfold/directory/directory_client_shell.hpp"
#include "tallyfold/logging/event_log.hpp"
#include "tallyfold/messaging/peer_link_shell.hpp"
#include "tallyfold/net/node_process_shell.hpp"
#include "tallyfold/turns/copy_progress.hpp"
#include "tallyfold/turns/turn_log.hpp"

namespace tallyfold::turns {

namespace {

constexpr duration expiry_interval = std::chrono::seconds(2);
/// Kept beyond the retention, for clocks that run apart and turns under way.
constexpr duration expiry_margin = std::chrono::seconds(15);
constexpr duration repair_interval = std::chrono::milliseconds(500);
constexpr duration copy_interval = std::chrono::milliseconds(250);
constexpr duration stop_delay = std::chrono::milliseconds(300);
constexpr std::size_t copy_page_bytes = 512U << 10U;
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
    /// A change that waits to be synced, and what is to be sent then.
    struct waiting_change {
        book_change change;
        std::function<void(bool durable)> answer;
    };

    bool open_log();
    void receive(const messaging::channel_pointer& channel, const messaging::peer_message& message);
    void begin(const messaging::channel_pointer& channel, const begin_request& request);
    void settle(const messaging::channel_pointer& channel, const settle_request& request);
    void copy_out(const messaging::channel_pointer& channel, const copy_request& request);
    void enqueue(book_change change, std::function<void(bool durable)> answer);
    void gather(int turns_left);
    void write_waiting();
    bool make_durable(const std::vector<book_change>& changes);
    void repair();
    void use_map(const store_map& map);
    void copy_more();
    void take_copy(const copy_reply& reply);
    void finish_copy();
    [[nodiscard]] std::vector<store_map> newer_than(map_epoch epoch) const;
    [[nodiscard]] directory::store_report describe() const;

    net::node_process process_;
    directory::directory_client directory_;
    messaging::peer_server peers_;
    std::optional<turn_log> log_;
    turn_book book_;
    std::vector<waiting_change> waiting_;
    bool gathering_ = false;
    std::optional<copy_progress> copying_;
    std::map<store_id, messaging::link_pointer> sources_;
    std::map<store_id, std::string> copied_up_to_;
    std::set<std::string> known_;
    map_epoch copied_epoch_ = 0;
    prometheus::Counter& changes_;
    prometheus::Counter& syncs_;
    prometheus::Counter& failures_;
    prometheus::Gauge& bytes_;
};

store_node::store_node(const settings::node_settings& settings)
    : process_(settings),
      directory_(process_, {std::chrono::milliseconds(300), true, false}),
      peers_(process_.loop(), settings.store_address()),
      changes_(prometheus::BuildCounter()
                   .Name("tallyfold_store_changes_total")
                   .Help("Reservations and settlements taken")
                   .Register(process_.metrics())
                   .Add({})),
      syncs_(prometheus::BuildCounter()
                 .Name("tallyfold_store_syncs_total")
                 .Help("Synced writes")
                 .Register(process_.metrics())
                 .Add({})),
      failures_(prometheus::BuildCounter()
                    .Name("tallyfold_store_write_failures_total")
                    .Help("Writes that the disk refused")
                    .Register(process_.metrics())
                    .Add({})),
      bytes_(prometheus::BuildGauge()
                 .Name("tallyfold_store_turn_bytes")
                 .Help("Bytes of the turns that are kept")
                 .Register(process_.metrics())
                 .Add({})) {}

bool store_node::open_log() {
    const std::string& folder = process_.settings().data_folder;
    auto opened = turn_log::open(folder, draw_identity());
    if (!opened && opened.error().failure != storage::storage_failure::input_output) {
        // The other stores hold what this folder lost: start as another store.
        logging::write_event(logging::event_id::identity_renewed,
                             "reason=\"" + opened.error().detail + "\"");
        std::error_code ignored;
        for (const auto& entry : std::filesystem::directory_iterator(folder, ignored)) {
            std::filesystem::remove_all(entry.path(), ignored);
        }
        opened = turn_log::open(folder, draw_identity());
    }
    if (!opened) {
        logging::write_event(logging::event_id::storage_failed,
                             "reason=\"" + opened.error().detail + "\"");
        return false;
    }
    log_.emplace(std::move(*opened));
    const instant now = http::steady_now();
    // The age of what was read back isn't known: its retention starts anew, which keeps it longer.
    for (const book_change& change : log_->take_recovered()) {
        book_.apply(change, now);
    }
    logging::write_event(logging::event_id::storage_opened,
                         "identity=" + std::to_string(log_->identity()) +
                             " turns=" + std::to_string(book_.turn_count()) +
                             " programs=" + std::to_string(book_.program_count()) +
                             " cut_bytes=" + std::to_string(log_->cut_bytes()));
    return true;
}

directory::store_report store_node::describe() const {
    const settings::node_settings& settings = process_.settings();
    return {{log_->identity(), settings.node, settings.store_address(), settings.zone},
            copied_epoch_};
}

std::vector<store_map> store_node::newer_than(map_epoch epoch) const {
    const store_map& map = directory_.map();
    return map.epoch > epoch ? std::vector<store_map>{map} : std::vector<store_map>{};
}

void store_node::receive(const messaging::channel_pointer& channel,
                         const messaging::peer_message& message) {
    if (const auto* request = std::get_if<begin_request>(&message)) {
        begin(channel, *request);
    } else if (const auto* settlement = std::get_if<settle_request>(&message)) {
        settle(channel, *settlement);
    } else if (const auto* chain = std::get_if<chain_request>(&message)) {
        channel->send(
            chain_reply{chain->operation, log_->identity(), book_.chain_from(chain->request)});
    } else if (const auto* copy = std::get_if<copy_request>(&message)) {
        copy_out(channel, *copy);
    }
}

void store_node::begin(const messaging::channel_pointer& channel, const begin_request& request) {
    std::vector<store_map> newer = newer_than(request.epoch);
    if (!newer.empty()) {
        begin_reply reply;
        reply.operation = request.operation;
        reply.store = log_->identity();
        reply.newer_map = std::move(newer);
        channel->send(reply);
        return;
    }
    enqueue(request.reservation, [this, channel, request](bool durable) {
        begin_reply reply;
        reply.operation = request.operation;
        reply.store = log_->identity();
        reply.durable = durable;
        reply.ledger = book_.ledger_of(request.reservation.program);
        reply.knows_previous = !request.previous.empty() && book_.holds_turn(request.previous);
        if (request.wants_chain && !request.previous.empty()) {
            reply.chain = book_.chain_from(request.previous);
        }
        channel->send(reply);
    });
}

void store_node::settle(const messaging::channel_pointer& channel, const settle_request& request) {
    std::vector<store_map> newer = newer_than(request.epoch);
    if (!newer.empty()) {
        channel->send(settle_reply{request.operation, log_->identity(), false, std::move(newer)});
        return;
    }
    const operation_number operation = request.operation;
    enqueue(request.settlement, [this, channel, operation](bool durable) {
        channel->send(settle_reply{operation, log_->identity(), durable, {}});
    });
}

void store_node::enqueue(book_change change, std::function<void(bool durable)> answer) {
    changes_.Increment();
    waiting_.push_back({std::move(change), std::move(answer)});
    if (!gathering_) {
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
    if (waiting_.empty()) {
        return;
    }
    std::vector<waiting_change> batch;
    batch.swap(waiting_);
    std::vector<book_change> changes;
    changes.reserve(batch.size());
    for (const waiting_change& entry : batch) {
        changes.push_back(entry.change);
    }
    const bool durable = make_durable(changes);
    const instant now = http::steady_now();
    if (durable) {
        for (const book_change& change : changes) {
            book_.apply(change, now);
        }
    }
    for (const waiting_change& entry : batch) {
        entry.answer(durable);
    }
    bytes_.Set(static_cast<double>(book_.bytes()));
    if (durable && log_->wants_rotation() && !log_->rotate(book_.contents())) {
        failures_.Increment();
    }
}

bool store_node::make_durable(const std::vector<book_change>& changes) {
    if (log_->failed()) {
        return false;
    }
    syncs_.Increment();
    const auto written = log_->append(changes);
    if (!written) {
        failures_.Increment();
        logging::write_event(logging::event_id::storage_failed,
                             "reason=\"" + written.error().detail + "\"");
    }
    return written.has_value();
}

void store_node::repair() {
    if (!log_->failed()) {
        return;
    }
    // A disk that was full may take a fresh segment again.
    if (log_->rotate(book_.contents())) {
        logging::write_event(logging::event_id::storage_opened,
                             "identity=" + std::to_string(log_->identity()) +
                                 " turns=" + std::to_string(book_.turn_count()) + " repaired=yes");
    }
}

void store_node::copy_out(const messaging::channel_pointer& channel, const copy_request& request) {
    // From here on no write under an older map is taken, so nothing slips past this copy.
    directory_.learn_map(request.map);
    if (log_->kept_map().epoch < request.map.epoch) {
        return;
    }
    // What was taken under the older map but isn't synced yet belongs to the copy too.
    write_waiting();
    copy_reply reply;
    reply.store = log_->identity();
    reply.epoch = request.map.epoch;
    reply.changes = book_.missing_from(request.known, request.from, copy_page_bytes, reply.next);
    channel->send(reply);
}

void store_node::use_map(const store_map& map) {
    logging::write_event(logging::event_id::store_map_changed,
                         "epoch=" + std::to_string(map.epoch) +
                             " stores=" + std::to_string(map.current.size()) +
                             " next=" + std::to_string(map.next.size()));
    if (const auto kept = log_->keep_map(map); !kept) {
        logging::write_event(logging::event_id::storage_failed,
                             "reason=\"" + kept.error().detail + "\"");
    }
    copying_.reset();
    sources_.clear();
    copied_up_to_.clear();
    if (!map.changing()) {
        return;
    }
    copying_.emplace(map, log_->identity());
    if (!copying_->wanted()) {
        copying_.reset();
        return;
    }
    known_ = book_.settled_requests();
    copy_more();
}

void store_node::copy_more() {
    if (!copying_.has_value()) {
        return;
    }
    if (copying_->whole()) {
        finish_copy();
        return;
    }
    for (const store_member& member : copying_->sources()) {
        messaging::link_pointer& link = sources_[member.id];
        if (!link) {
            link = std::make_shared<messaging::peer_link>(process_.loop(), member.address);
            link->start(
                [this](const messaging::peer_message& message) {
                    if (const auto* reply = std::get_if<copy_reply>(&message)) {
                        take_copy(*reply);
                    }
                },
                [this](bool up, const std::string&) {
                    if (up) {
                        asio::post(process_.loop(), [this] { copy_more(); });
                    }
                });
        }
        link->send(copy_request{copying_->map(), known_, copied_up_to_[member.id]});
    }
}

void store_node::take_copy(const copy_reply& reply) {
    if (!copying_.has_value() || reply.epoch != copying_->epoch() || log_->failed()) {
        return;
    }
    if (!reply.changes.empty()) {
        if (!make_durable(reply.changes)) {
            return;
        }
        const instant now = http::steady_now();
        for (const book_change& change : reply.changes) {
            book_.apply(change, now);
        }
    }
    if (!reply.next.empty()) {
        copied_up_to_[reply.store] = reply.next;
        const auto link = sources_.find(reply.store);
        if (link != sources_.end()) {
            link->second->send(copy_request{copying_->map(), known_, reply.next});
        }
        return;
    }
    copying_->finished(reply.store);
    if (copying_->whole()) {
        finish_copy();
    }
}

void store_node::finish_copy() {
    copied_epoch_ = copying_->epoch();
    logging::write_event(logging::event_id::store_copied,
                         "epoch=" + std::to_string(copied_epoch_) +
                             " turns=" + std::to_string(book_.turn_count()) +
                             " programs=" + std::to_string(book_.program_count()));
    copying_.reset();
    // Links are let go outside their own handlers.
    asio::post(process_.loop(), [this] {
        if (!copying_.has_value()) {
            sources_.clear();
        }
    });
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
    directory_.start([](const routing::configuration&) {},
                     [this](const store_map& map) { use_map(map); },
                     [this] { return std::vector<directory::store_report>{describe()}; });
    directory_.learn_map(log_->kept_map());
    process_.every(expiry_interval, [this] { book_.expire(http::steady_now(), expiry_margin); });
    process_.every(repair_interval, [this] { repair(); });
    process_.every(copy_interval, [this] { copy_more(); });
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
