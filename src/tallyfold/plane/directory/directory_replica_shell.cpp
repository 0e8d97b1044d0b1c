#include "tallyfold/plane/directory/directory_replica_shell.hpp"

#include <algorithm>
#include <random>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/directory/stored_formats.hpp"

namespace tallyfold::directory {

namespace {

/// Delay before a failed data folder is reopened. Each attempt reads the whole log, and a full disk
/// or a remount takes seconds.
constexpr duration reopen_interval = std::chrono::milliseconds(500);
/// Size in bytes at which the log starts a new file; holds a few large configurations (2 MB each).
constexpr std::uint64_t segment_bytes = 4U << 20U;

/// Returns a random number above 0.
std::uint64_t random_nonzero() {
    std::random_device source;
    const std::uint64_t high = source();
    return std::max<std::uint64_t>(1, (high << 32U) ^ source());
}

directory_settings core_settings_of(const settings::node_settings& settings) {
    directory_settings core_settings;
    core_settings.address = settings.directory_address();
    core_settings.seeds = settings.seed_directories();
    core_settings.first_start = settings.first_start;
    // 2f+1 voters tolerate f losses; two more keep that tolerance while a lost one is replaced.
    core_settings.members.max_voters = 2 * settings.tolerated_losses + 3;
    core_settings.members.min_voters = 2 * settings.tolerated_losses + 1;
    core_settings.stores.losses = settings.tolerated_losses;
    core_settings.seed = random_nonzero();
    return core_settings;
}

/// Returns the identity of a replica whose folder is empty.
consensus::replica_id new_identity(const directory_settings& settings) {
    const bool is_seed = std::find(settings.seeds.begin(), settings.seeds.end(),
                                   settings.address) != settings.seeds.end();
    return settings.first_start && is_seed ? first_identity(settings.address) : random_nonzero();
}

void log_storage_failure(const std::string& detail) {
    logging::write_event(logging::event_id::storage_failed, "reason=\"" + detail + "\"");
}

}  // namespace

directory_replica::directory_replica(net::node_process& process, directory_metrics& metrics,
                                     replica_handlers handlers)
    : process_(process),
      metrics_(metrics),
      handlers_(std::move(handlers)),
      cache_(process.settings().data_folder) {}

void directory_replica::start() {
    if (!open()) {
        schedule_reopen();
    }
}

void directory_replica::schedule_reopen() {
    process_.run_after(reopen_interval, [this] { start(); });
}

bool directory_replica::clear_damaged_folder(const std::string& reason) {
    // The folder's contents are not reliable: this node starts as a new replica and obtains the
    // state from its peers.
    logging::write_event(logging::event_id::identity_renewed, "reason=\"" + reason + "\"");
    const auto cleared = storage::log_store::clear(process_.settings().data_folder);
    if (!cleared) {
        log_storage_failure(cleared.error().detail);
    }
    return cleared.has_value();
}

bool directory_replica::open() {
    const std::string& folder = process_.settings().data_folder;
    const directory_settings settings = core_settings_of(process_.settings());
    const auto open_as = [&](consensus::replica_id identity) {
        return storage::log_store::open(folder, identity, segment_bytes,
                                        storage::tail_policy::truncate_torn);
    };
    auto opened = open_as(new_identity(settings));
    // Data in another build's format is intact, so the folder is kept for a build that can read it.
    if (!opened && opened.error().failure == storage::storage_failure::damaged) {
        if (!clear_damaged_folder(opened.error().detail)) {
            return false;
        }
        opened = open_as(random_nonzero());
    }
    if (!opened) {
        log_storage_failure(opened.error().detail);
        return false;
    }
    store_ = std::make_unique<storage::log_store>(std::move(*opened));
    const consensus::recovered_node& recovered = store_->recovered();
    logging::write_event(logging::event_id::storage_opened,
                         "identity=" + std::to_string(recovered.identity) +
                             " cut_bytes=" + std::to_string(recovered.truncated_bytes));
    const auto group = recovered.groups.find(configuration_group);
    const bool is_empty = group == recovered.groups.end();
    core_ = std::make_unique<directory_core>(
        settings, recovered.identity, is_empty ? consensus::recovered_state{} : group->second,
        http::steady_now());
    core_->set_previous_state(cache_.load());
    return true;
}

bool directory_replica::make_durable(const consensus::group_write& write) {
    metrics_.writes.Increment();
    const auto written = store_->write({write_on_disk(write)});
    if (written) {
        return true;
    }
    log_storage_failure(written.error().detail);
    // Messages that depend on the failed write must not be sent: this replica stops until the
    // folder has been read again.
    store_.reset();
    core_.reset();
    handlers_.on_storage_lost();
    schedule_reopen();
    return false;
}

void directory_replica::send(std::vector<addressed_message>& messages) {
    for (addressed_message& message : messages) {
        handlers_.send(std::move(message));
    }
}

bool directory_replica::do_work(directory_work work) {
    for (const logging::event_record& event : work.events) {
        logging::write_event(event);
    }
    send(work.before_sync);
    if (work.write.has_value()) {
        if (!make_durable(*work.write)) {
            return false;
        }
        core_->persisted();
    }
    send(work.after_sync);
    for (const directory_answer& answer : work.answers) {
        handlers_.on_answer(answer);
    }
    for (const directory_proof& proof : work.proofs) {
        handlers_.on_proof(proof);
    }
    metrics_.version.Set(static_cast<double>(core_->state().configuration().version));
    return true;
}

void directory_replica::run_work() {
    if (is_running_work_) {
        return;
    }
    is_running_work_ = true;
    while (core_) {
        directory_work work = core_->take_work();
        if (work.empty() || !do_work(std::move(work))) {
            break;
        }
    }
    is_running_work_ = false;
}

void directory_replica::tick() {
    if (core_) {
        core_->tick(http::steady_now());
        run_work();
    }
    // The work above may have reset the core after a failed write.
    if (core_) {
        cache_.save(core_->state(), http::steady_now());
    }
}

}  // namespace tallyfold::directory
