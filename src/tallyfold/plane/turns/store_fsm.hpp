#pragma once
/// @file
/// One store, a member of one group or a spare that belongs to none, as a pure state machine:
/// messages in, writes and replies out. The shell makes each write durable before it sends the
/// replies that depend on it.
///
/// Owns the turns and ledgers in memory, the map in force here, and the progress of a copy. Relies
/// on store_rules for what it refuses, and on copy_progress for when a copy is whole.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tallyfold/plane/turns/copy_progress.hpp"
#include "tallyfold/plane/turns/messages.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::turns {

/// Names the connection that a request came over, for its reply.
using peer_token = std::uint64_t;

using store_reply = std::variant<begin_reply, history_reply, settle_reply, copy_reply, find_reply>;

struct addressed_reply {
    peer_token to = 0;
    store_reply body;
};

/// What has to be durable before written() is called.
struct store_write {
    /// The map to keep, before the changes.
    std::optional<store_map> map;
    std::vector<turn_change> changes;

    [[nodiscard]] bool empty() const { return !map.has_value() && changes.empty(); }
};

/// A copy request to the store at a member's address.
struct copy_order {
    store_member source;
    copy_request request;
};

class store_fsm {
  public:
    /// @param stored_map the map that was durable at the last stop; epoch 0 for none
    /// @param recovered what the disk held
    store_fsm(store_id self, const store_map& stored_map, turn_table recovered);

    /// Takes a request. @return replies that need no write; the others come from written()
    std::vector<addressed_reply> receive(peer_token from, const begin_request& request);
    std::vector<addressed_reply> receive(peer_token from, const settle_request& request);
    std::vector<addressed_reply> receive(peer_token from, const history_request& request) const;
    std::vector<addressed_reply> receive(peer_token from, const find_request& request) const;
    std::vector<addressed_reply> receive(peer_token from, const copy_request& request);
    /// A page of the copy that this store fetches.
    void receive(const copy_reply& reply);
    /// Takes over a newer map of the group that this store belongs to, or did. @return true when
    /// it was newer
    bool learn_map(const store_map& map);
    /// Takes over what the table says of the group that this store belongs to, or did.
    /// @return true when anything was newer
    bool learn_table(const store_table& table);

    /// True when take_write() has something to do.
    [[nodiscard]] bool has_work() const { return !queue_.empty() || map_write_pending_; }
    /// Takes the work that has gathered; written() has to follow.
    store_write take_write();
    /// The write taken last has ended. @param durable false when the disk refused it: nothing of it
    /// is taken over, and the requests are answered as not durable
    std::vector<addressed_reply> written(bool durable, instant now);

    /// The next page to ask for, and of which store; nothing when no copy is under way. One source
    /// after the other: what one has sent needn't come from the next, nor be held twice.
    [[nodiscard]] std::optional<copy_order> next_copy();
    /// The source asked last has not answered in time: the next one is asked.
    void skip_copy_source() { ++source_offset_; }
    /// Epoch of the newest map for which this store has fetched a whole copy; 0 for none.
    [[nodiscard]] map_epoch copied_epoch() const { return copied_epoch_; }
    [[nodiscard]] const store_map& map() const { return map_; }
    [[nodiscard]] store_id self() const { return self_; }
    [[nodiscard]] const turn_table& turns() const { return turns_; }
    /// Removes what has outlived its retention by more than `margin`.
    void expire(instant now, duration margin) { turns_.expire(now, margin); }

  private:
    /// One request, or one page of a copy, in the order of arrival.
    struct queued_message {
        peer_token from = 0;
        std::variant<begin_request, settle_request, copy_request, copy_reply> body;
    };

    /// Parts of prompts whose engine is remembered, at most. Chosen, not measured: some MB of
    /// memory.
    static constexpr std::size_t max_cached_prefixes = 20'000;
    /// Engines that a reply names, at most. Chosen, not measured: the engine that served the turn
    /// before, and the one before it in case the first is full.
    static constexpr std::size_t max_reported_holders = 2;

    [[nodiscard]] std::vector<store_map> newer_map_than(map_epoch epoch) const;
    [[nodiscard]] std::vector<scheduling::cached_prefix> holders_of(
        const std::vector<scheduling::prefix_point>& prompt) const;
    void append_changes(const queued_message& work, std::vector<turn_change>& changes) const;
    /// What is durable now takes effect.
    void apply_batch(const std::vector<queued_message>& batch, instant now);
    [[nodiscard]] begin_reply answer(const begin_request& request, bool durable) const;
    [[nodiscard]] copy_reply answer(const copy_request& request) const;
    void on_copy_page(const copy_reply& reply);

    store_id self_;
    store_map map_;
    turn_table turns_;
    /// The map in force is newer than the one handed out for writing.
    bool map_write_pending_ = false;
    /// Epochs of the map that is durable here, and of the one being written.
    map_epoch durable_epoch_ = 0;
    map_epoch writing_epoch_ = 0;
    std::vector<queued_message> queue_;
    std::vector<queued_message> write_batch_;
    std::optional<copy_progress> copy_progress_;
    /// Requests that this store held when it asked the current source first: they aren't sent.
    std::set<std::string> held_requests_;
    /// The last request of the page before, at each source that has sent one.
    std::map<store_id, std::string> copy_positions_;
    std::size_t source_offset_ = 0;
    map_epoch copied_epoch_ = 0;
    /// Which engine holds which prompt, from the settled turns. In memory only: what a restart
    /// forgets costs time, not correctness.
    scheduling::cache_map prompt_holders_{max_cached_prefixes};
};

}  // namespace tallyfold::turns
