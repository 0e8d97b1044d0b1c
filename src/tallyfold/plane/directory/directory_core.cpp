#include "tallyfold/plane/directory/directory_core.hpp"

#include <algorithm>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/protocol/compression.hpp"

namespace tallyfold::directory {

namespace {

constexpr duration duty_interval = std::chrono::milliseconds(100);
/// How much longer than their time stores keep turns: after a restart their time starts anew, and
/// clocks run apart.
constexpr duration retention_margin = std::chrono::seconds(15);
/// A change of stores, or a lead without a committed entry, that lasts longer is logged, and again
/// after each such time.
constexpr duration hindrance_interval = std::chrono::seconds(2);
constexpr duration join_interval = std::chrono::milliseconds(300);
/// A replica that no leader has spoken to for this long asks to be taken in again.
constexpr duration orphaned_after = std::chrono::milliseconds(2500);
/// Rounds in which the leader proves its lead for readers: 50 a second cost some 250 messages.
constexpr duration read_round_gap = std::chrono::milliseconds(20);
/// Position and term of the snapshot that forms the directory.
constexpr consensus::log_index first_index = 1;
constexpr consensus::term_number first_term = 1;

consensus::replica_settings replica_settings_of(const directory_settings& settings,
                                                consensus::replica_id identity) {
    consensus::replica_settings chosen;
    chosen.group = configuration_group;
    chosen.self = identity;
    chosen.election_timeout = settings.election_timeout;
    chosen.heartbeat_interval = settings.heartbeat_interval;
    chosen.first_election_timeout = settings.first_election_timeout;
    chosen.read_round_gap = read_round_gap;
    chosen.seed = settings.seed;
    return chosen;
}

/// The state of a new directory: every seed votes under the identity that its address gives.
consensus::recovered_state first_state(const std::vector<node_name>& seeds) {
    consensus::recovered_state state;
    state.state.term = first_term;
    state.base.index = first_index;
    state.base.term = first_term;
    for (const node_name& seed : seeds) {
        state.base.members.members[first_identity(seed)] = {seed, false};
    }
    return state;
}

bool forms_directory(const directory_settings& settings, consensus::replica_id identity,
                     const consensus::recovered_state& recovered) {
    const bool is_seed = std::find(settings.seeds.begin(), settings.seeds.end(),
                                   settings.address) != settings.seeds.end();
    return settings.first_start && is_seed && identity == first_identity(settings.address) &&
           recovered.base.index == 0 && recovered.entries.empty() && recovered.state.term == 0;
}

}  // namespace

consensus::replica_id first_identity(const node_name& address) {
    return std::max<consensus::replica_id>(1, stable_hash(address));
}

directory_core::directory_core(directory_settings settings, consensus::replica_id identity,
                               const consensus::recovered_state& recovered, instant now)
    : settings_(std::move(settings)),
      identity_(identity),
      replica_(replica_settings_of(settings_, identity),
               forms_directory(settings_, identity, recovered) ? first_state(settings_.seeds)
                                                               : recovered,
               now),
      member_planner_(settings_.members),
      store_planner_(settings_.stores),
      leader_seen_(now) {
    state_.restore(recovered.base.state);
    applied_ = replica_.log().snapshot_index();
    if (forms_directory(settings_, identity, recovered)) {
        const consensus::recovered_state first = first_state(settings_.seeds);
        consensus::group_write write;
        write.group = configuration_group;
        write.state = first.state;
        write.base = first.base;
        first_write_ = std::move(write);
    }
}

bool directory_core::is_member() const {
    return replica_.members().members.contains(identity_);
}

bool directory_core::leads() const {
    return replica_.role() == consensus::replica_role::leader;
}

node_name directory_core::leader_address() const {
    const auto found = replica_.members().members.find(replica_.leader());
    return found == replica_.members().members.end() ? node_name{} : found->second.node;
}

std::size_t directory_core::rank_behind_leader() const {
    const node_name leader = leader_address();
    std::size_t rank = 0;
    for (const auto& [id, member] : replica_.members().members) {
        rank += member.node != leader && member.node < settings_.address ? 1 : 0;
    }
    return rank;
}

void directory_core::event(logging::event_id id, std::string fields) {
    work_.events.push_back({id, std::move(fields)});
}

void directory_core::receive(const node_name& from, const consensus::replica_message& message,
                             instant now) {
    if (!from.empty()) {
        addresses_[message.from] = from;
    }
    member_planner_.heard(message.from, now);
    replica_.step(message, now);
    if (replica_.leader() == message.from) {
        leader_seen_ = now;
    }
    note_leadership(now);
}

void directory_core::receive(const join_request& request, instant now) {
    addresses_[request.replica] = request.address;
    member_planner_.on_join(request, now);
}

directory_beat directory_core::receive(const node_report& report, instant now) {
    for (const store_report& store : report.store) {
        store_planner_.on_report(store, now);
    }
    return answer_to(report);
}

configuration_part directory_core::receive(const configuration_request& request) {
    source_.show(shown_configuration());
    return source_.answer(request);
}

const configuration_pointer& directory_core::shown_configuration() const {
    const bool has_newest = state_.configuration().version >= earlier_.configuration().version;
    return has_newest ? state_.shared_configuration() : earlier_.shared_configuration();
}

directory_beat directory_core::answer_to(const node_report& report) const {
    const bool has_newest_stores = state_.stores().epoch >= earlier_.stores().epoch;
    const turns::store_table& shown_stores =
        has_newest_stores ? state_.stores() : earlier_.stores();
    directory_beat answer;
    answer.configuration = shown_configuration()->version;
    if (shown_stores.epoch > report.stores) {
        answer.newer_stores.push_back(shown_stores);
    }
    for (const auto& [id, member] : replica_.members().members) {
        answer.directory_addresses.push_back(member.node);
    }
    answer.leader = leader_address();
    answer.term = replica_.term();
    return answer;
}

void directory_core::answer(request_token token, answer_kind kind) {
    work_.answers.push_back({token, kind, leader_address()});
}

void directory_core::submit(request_token token, const directory_command& command) {
    // A follower reads an entry whole before it sees the heartbeats behind it.
    const auto index = replica_.propose(protocol::encode_packed(command));
    if (!index) {
        answer(token, answer_kind::not_leader);
        return;
    }
    commands_[*index] = {token, replica_.term()};
}

void directory_core::confirm(request_token token, instant now) {
    const std::uint64_t read = next_read_++;
    if (!replica_.request_read(read, now)) {
        answer(token, answer_kind::not_leader);
        return;
    }
    reads_[read] = token;
}

void directory_core::prove(request_token token, instant now) {
    const std::uint64_t read = next_read_++;
    if (!replica_.request_read_at_any_replica(read, now)) {
        work_.proofs.push_back({token, false});
        return;
    }
    proofs_[read] = token;
}

void directory_core::end_read(std::uint64_t read, bool confirmed) {
    if (const auto found = reads_.find(read); found != reads_.end()) {
        answer(found->second, confirmed ? answer_kind::done : answer_kind::not_leader);
        reads_.erase(found);
    } else if (const auto proof = proofs_.find(read); proof != proofs_.end()) {
        work_.proofs.push_back({proof->second, confirmed});
        proofs_.erase(proof);
    }
}

void directory_core::fail_pending() {
    for (const auto& [index, command] : commands_) {
        if (command.token != 0) {
            answer(command.token, answer_kind::unknown);
        }
    }
    commands_.clear();
}

void directory_core::note_leadership(instant now) {
    if (leads() == led_) {
        return;
    }
    led_ = leads();
    if (led_) {
        member_planner_.start(now);
        store_planner_.start(now);
        leads_since_ = now;
        changing_since_.reset();
        next_hindrance_ = now + hindrance_interval;
        event(logging::event_id::leadership_gained,
              "term=" + std::to_string(replica_.term()) +
                  " commit=" + std::to_string(replica_.commit_index()));
    } else {
        event(logging::event_id::leadership_lost, "term=" + std::to_string(replica_.term()));
        fail_pending();
    }
}

duration directory_core::longest_retention() const {
    double seconds = 0;
    for (const routing::route& route : state_.configuration().routes) {
        seconds = std::max(seconds, route.retention_seconds);
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

void directory_core::lead(instant now) {
    if (const auto members = member_planner_.plan(view_of(replica_), identity_, now)) {
        if (replica_.propose_membership(*members)) {
            event(logging::event_id::membership_changed,
                  "voters=" + std::to_string(members->voter_count()) +
                      " members=" + std::to_string(members->members.size()) +
                      " term=" + std::to_string(replica_.term()));
        }
    }
    const bool waiting = std::any_of(commands_.begin(), commands_.end(),
                                     [](const auto& entry) { return entry.second.token == 0; });
    if (waiting) {
        return;
    }
    store_planner_.watch_losses(state_, longest_retention() + retention_margin, now);
    if (auto change = store_planner_.plan(state_, now)) {
        submit(0, std::move(*change));
    }
}

void directory_core::note_hindrances(instant now) {
    const std::vector<std::string> open = store_planner_.describe_open_changes(state_, now);
    if (open.empty()) {
        changing_since_.reset();
    } else if (!changing_since_.has_value()) {
        changing_since_ = now;
        next_hindrance_ = now + hindrance_interval;
    }
    if (now < next_hindrance_) {
        return;
    }
    next_hindrance_ = now + hindrance_interval;
    if (!replica_.has_committed_in_term()) {
        std::string matched;
        for (const auto& [id, member] : replica_.members().members) {
            if (!matched.empty()) {
                matched += ',';
            }
            matched += std::to_string(replica_.match_index(id));
        }
        event(logging::event_id::leader_uncommitted,
              "term=" + std::to_string(replica_.term()) +
                  " led_ms=" + std::to_string(to_milliseconds(now - leads_since_)) +
                  " last=" + std::to_string(replica_.log().last_index()) +
                  " commit=" + std::to_string(replica_.commit_index()) + " durable=" +
                  std::to_string(replica_.match_index(identity_)) + " matched=" + matched);
        return;
    }
    for (const std::string& fields : open) {
        event(logging::event_id::store_change_open,
              fields + " open_ms=" + std::to_string(to_milliseconds(now - *changing_since_)));
    }
}

void directory_core::join(instant now) {
    const bool orphaned = !leads() && now - leader_seen_ > orphaned_after;
    if ((is_member() && !orphaned) || now < next_join_) {
        return;
    }
    next_join_ = now + join_interval;
    std::vector<node_name> asked = settings_.seeds;
    for (const auto& [id, member] : replica_.members().members) {
        asked.push_back(member.node);
    }
    std::sort(asked.begin(), asked.end());
    asked.erase(std::unique(asked.begin(), asked.end()), asked.end());
    for (const node_name& address : asked) {
        if (address != settings_.address) {
            work_.before_sync.push_back({address, join_request{identity_, settings_.address}});
        }
    }
}

void directory_core::tick(instant now) {
    replica_.tick(now);
    note_leadership(now);
    join(now);
    if (now >= next_duty_) {
        next_duty_ = now + duty_interval;
        if (replica_.has_committed_in_term()) {
            lead(now);
        }
        if (leads()) {
            note_hindrances(now);
        }
    }
}

void directory_core::apply(const consensus::log_entry& entry) {
    applied_ = entry.index;
    applied_bytes_ += entry.payload.size();
    if (entry.kind == consensus::entry_kind::command) {
        // An entry is written by this program and guarded by checksums.
        if (auto command = protocol::decode_packed<directory_command>(entry.payload)) {
            const auto version = state_.configuration().version;
            const turns::map_epoch epoch = state_.stores().epoch;
            state_.apply(std::move(*command));
            if (state_.configuration().version != version) {
                source_.show(state_.shared_configuration());
                event(logging::event_id::configuration_applied,
                      "version=" + std::to_string(state_.configuration().version) +
                          " index=" + std::to_string(entry.index));
            }
            note_changed_groups(epoch);
        }
    }
    const auto waiting = commands_.find(entry.index);
    if (waiting == commands_.end()) {
        return;
    }
    if (waiting->second.token != 0) {
        const bool ours = waiting->second.term == entry.term;
        answer(waiting->second.token, ours ? answer_kind::done : answer_kind::unknown);
    }
    commands_.erase(waiting);
}

void directory_core::note_changed_groups(turns::map_epoch since) {
    for (const turns::store_map& map : state_.stores().groups) {
        if (map.epoch > since) {
            event(logging::event_id::store_map_changed, turns::describe(map));
            if (map.after_loss && map.changing()) {
                event(logging::event_id::store_majority_lost, turns::describe(map));
            }
        }
    }
}

addressed_message directory_core::address(consensus::replica_message message) const {
    node_name to = message.to_node;
    if (to.empty()) {
        const auto found = addresses_.find(message.to);
        to = found == addresses_.end() ? node_name{} : found->second;
    }
    return {std::move(to), std::move(message)};
}

void directory_core::take_snapshot(consensus::group_write& write) {
    const consensus::replicated_log& log = replica_.log();
    const bool due = applied_ >= log.snapshot_index() + settings_.snapshot_interval ||
                     applied_bytes_ >= settings_.snapshot_bytes;
    if (write.base.has_value() || !due) {
        return;
    }
    applied_bytes_ = 0;
    consensus::snapshot own;
    own.index = applied_;
    own.term = log.term_at(applied_).value_or(0);
    own.members = replica_.members_at(applied_);
    own.state = state_.to_bytes();
    write.base = own;
    writing_snapshot_ = std::move(own);
}

directory_work directory_core::take_work() {
    consensus::group_write write;
    write.group = configuration_group;
    if (first_write_.has_value()) {
        write = std::move(*first_write_);
        first_write_.reset();
    }
    if (replica_.has_ready()) {
        consensus::ready ready = replica_.take_ready();
        if (ready.received_snapshot.has_value()) {
            state_.restore(ready.received_snapshot->state);
            applied_ = ready.received_snapshot->index;
            write.base = std::move(ready.received_snapshot);
        }
        for (const consensus::log_entry& entry : ready.committed) {
            apply(entry);
        }
        for (const std::uint64_t read : ready.confirmed_reads) {
            end_read(read, true);
        }
        for (const std::uint64_t read : ready.failed_reads) {
            end_read(read, false);
        }
        for (consensus::replica_message& message : ready.messages_before_sync) {
            work_.before_sync.push_back(address(std::move(message)));
        }
        for (consensus::replica_message& message : ready.messages_after_sync) {
            work_.after_sync.push_back(address(std::move(message)));
        }
        if (ready.new_state.has_value()) {
            write.state = ready.new_state;
        }
        write.entries = std::move(ready.new_entries);
        take_snapshot(write);
    }
    if (!write.entries.empty()) {
        writing_ = {write.entries.back().index, write.entries.back().term};
    }
    if (write.state || write.base || !write.entries.empty()) {
        work_.write = std::move(write);
    }
    directory_work taken;
    std::swap(taken, work_);
    return taken;
}

void directory_core::persisted() {
    if (writing_.has_value()) {
        replica_.persisted(writing_->first, writing_->second);
        writing_.reset();
    }
    if (writing_snapshot_.has_value()) {
        replica_.compacted(writing_snapshot_->index);
        replica_.set_snapshot(std::move(*writing_snapshot_));
        writing_snapshot_.reset();
    }
}

}  // namespace tallyfold::directory
