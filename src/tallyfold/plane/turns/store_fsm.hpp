#pragma once
/// @file
/// State machine of one store, a member of a group or a spare. Pure: takes messages and returns
/// writes and replies. The shell makes each write durable before it sends the replies that depend
/// on it.
///
/// Owns the turns and ledgers in memory, the map in force, and the progress of a copy. store_rules
/// decides which requests are refused, copy_progress when a copy is complete, group_repair what is
/// fetched from the other members.

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

/// Age at which a change is compared with other members. Requests that are still under way to some
/// of them are younger.
constexpr duration comparison_lag = std::chrono::seconds(1);

/// Identifies the connection of a request, for its reply.
using peer_token = std::uint64_t;

using store_reply = std::variant<begin_reply, history_reply, settle_reply, copy_reply, find_reply,
                                 comparison_reply, records_reply>;

struct addressed_reply {
    peer_token to = 0;
    store_reply body;
};

/// Data to make durable before finish_write() is called.
struct store_write {
    /// Map to store; written before the changes.
    std::optional<store_map> map;
    std::vector<turn_change> changes;

    [[nodiscard]] bool empty() const { return !map.has_value() && changes.empty(); }
};

/// A copy request and the store that it goes to.
struct copy_fetch {
    store_member source;
    copy_request request;
};

class store_fsm {
  public:
    /// @param stored_map the map read from the disk; epoch 0 for none
    /// @param recovered the turns and ledgers read from the disk
    /// @param incarnation identifies this process among all that have run on the disk
    store_fsm(store_id self, const store_map& stored_map, turn_table recovered,
              std::uint64_t incarnation);

    /// Handles a request. @return replies that depend on no write; finish_write() returns the
    /// others
    std::vector<addressed_reply> receive(peer_token from, const begin_request& request);
    std::vector<addressed_reply> receive(peer_token from, const settle_request& request);
    std::vector<addressed_reply> receive(peer_token from, const history_request& request) const;
    std::vector<addressed_reply> receive(peer_token from, const find_request& request) const;
    std::vector<addressed_reply> receive(peer_token from, const copy_request& request);
    /// @param now changes of the last comparison_lag are left for a later comparison
    std::vector<addressed_reply> receive(peer_token from, const comparison_request& request,
                                         instant now) const;
    std::vector<addressed_reply> receive(peer_token from, const records_request& request,
                                         instant now) const;
    /// Queues a page of the copy that this store fetches.
    void receive(const copy_reply& reply);
    /// Queues records that another member of the group sent.
    void receive(const records_reply& reply);
    /// Adopts a newer map of the group that this store belongs or belonged to. @return true when it
    /// was newer
    bool adopt_newer_map(const store_map& map);
    /// Adopts the newer maps of the group that this store belongs or belonged to.
    /// @return true when any was newer
    bool learn_table(const store_table& table);

    /// True when messages or a map are queued for begin_write().
    [[nodiscard]] bool has_pending_write() const { return !queue_.empty() || map_write_pending_; }
    /// Returns the queued changes and map for writing; must be followed by finish_write().
    store_write begin_write();
    /// Ends the write that begin_write() returned last. @param durable false when the write failed:
    /// its changes are not applied, and the requests are answered as not durable
    std::vector<addressed_reply> finish_write(bool durable, instant now);

    /// Next page to request, and its source; nothing when no copy is under way. Sources are copied
    /// one after the other, so that none sends what an earlier one has already sent.
    [[nodiscard]] std::optional<copy_fetch> next_copy();
    /// Switches to the next source after the last one timed out.
    void skip_copy_source() { ++source_offset_; }
    /// Epoch of the newest map for which this store has completed a copy; 0 for none.
    [[nodiscard]] map_epoch copied_epoch() const { return copied_epoch_; }
    [[nodiscard]] const store_map& map() const { return map_; }
    /// Number of groups; 0 while the directory has not sent the whole table.
    [[nodiscard]] group_number group_count() const { return group_count_; }
    [[nodiscard]] store_id self() const { return self_; }
    [[nodiscard]] const turn_table& turns() const { return turns_; }
    /// Removes turns and ledgers whose retention ended more than `margin` ago.
    void expire(instant now, duration margin) { turns_.expire(now, margin); }

  private:
    /// A request, or a page of a copy.
    struct queued_message {
        peer_token from = 0;
        std::variant<begin_request, settle_request, copy_request, copy_reply, records_reply> body;
    };

    /// Maximum number of prompt prefixes in prompt_holders_; bounds its memory.
    static constexpr std::size_t max_cached_prefixes = 20'000;
    /// Maximum number of engines in a reply: the one that served the previous turn, and the one
    /// before it in case the first is full.
    static constexpr std::size_t max_reported_holders = 2;

    [[nodiscard]] std::vector<store_map> newer_map_than(map_epoch epoch) const;
    [[nodiscard]] std::vector<scheduling::cached_prefix> holders_of(
        const std::vector<scheduling::prefix_point>& prompt) const;
    static void append_changes(const queued_message& work, std::vector<turn_change>& changes);
    /// Applies the changes of a batch that has become durable.
    void apply_batch(const std::vector<queued_message>& batch, instant now);
    [[nodiscard]] begin_reply answer(const begin_request& request, bool durable) const;
    [[nodiscard]] copy_reply answer(const copy_request& request, instant now) const;
    void on_copy_page(const copy_reply& reply);

    store_id self_;
    std::uint64_t incarnation_;
    store_map map_;
    group_number group_count_ = 0;
    turn_table turns_;
    /// True when the map in force has not been handed out for writing yet.
    bool map_write_pending_ = false;
    /// Epochs of the durable map and of the map being written.
    map_epoch durable_epoch_ = 0;
    map_epoch writing_epoch_ = 0;
    std::vector<queued_message> queue_;
    std::vector<queued_message> write_batch_;
    std::optional<copy_progress> copy_progress_;
    /// Requests that this store held with cost and record before the copy from the current source;
    /// the source omits them.
    std::set<std::string> held_requests_;
    /// Last request of the latest page, by source.
    std::map<store_id, std::string> copy_positions_;
    std::size_t source_offset_ = 0;
    map_epoch copied_epoch_ = 0;
    /// Engines that cache prompts, from the settled turns. In memory only: after a restart the
    /// missing hints cost time, not correctness.
    scheduling::cache_map prompt_holders_{max_cached_prefixes};
};

}  // namespace tallyfold::turns
