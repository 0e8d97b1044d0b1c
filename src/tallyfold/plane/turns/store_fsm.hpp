#pragma once
/// @file
/// One store, a member of one group or waiting to become one, as a pure state machine: messages in,
/// writes and replies out. The shell makes each write durable before it hands out the replies that
/// depend on it.

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
    /// @param recovered what the disk held
    store_fsm(store_id self, const store_map& kept, turn_table recovered);

    /// @return replies that wait for nothing
    std::vector<addressed_reply> receive(peer_token from, const begin_request& request);
    std::vector<addressed_reply> receive(peer_token from, const settle_request& request);
    std::vector<addressed_reply> receive(peer_token from, const history_request& request) const;
    std::vector<addressed_reply> receive(peer_token from, const find_request& request) const;
    std::vector<addressed_reply> receive(peer_token from, const copy_request& request);
    /// A page of the copy that this store makes.
    void receive(const copy_reply& reply);
    /// Takes over a newer map of the group that this store belongs to, or did. @return true when
    /// it was newer
    bool learn_map(const store_map& map);
    /// Takes over what the table says of the group that this store belongs to, or did.
    /// @return true when anything was newer
    bool learn_table(const store_table& table);

    [[nodiscard]] bool has_work() const { return !waiting_.empty() || map_to_keep_; }
    /// Takes what has gathered; written() has to follow.
    store_write take_write();
    /// @param durable false when the disk refused; nothing of the write is taken over then
    std::vector<addressed_reply> written(bool durable, instant now);

    /// What to ask which store for now; nothing when no copy is under way. One source after the
    /// other: what one has sent needn't come from the next, nor be held twice.
    [[nodiscard]] std::optional<copy_order> next_copy();
    /// The source asked last has not answered: the next one is asked.
    void skip_copy_source() { ++source_offset_; }
    /// The newest map for which this store holds a whole copy.
    [[nodiscard]] map_epoch copied_epoch() const { return copied_epoch_; }
    [[nodiscard]] const store_map& map() const { return map_; }
    [[nodiscard]] store_id self() const { return self_; }
    [[nodiscard]] const turn_table& turns() const { return turns_; }
    void expire(instant now, duration margin) { turns_.expire(now, margin); }

  private:
    /// One request, or one page of a copy, in the order of arrival.
    struct waiting_work {
        peer_token from = 0;
        std::variant<begin_request, settle_request, copy_request, copy_reply> body;
    };

    /// Parts of prompts whose engine is remembered, at most.
    static constexpr std::size_t max_cached_prefixes = 20'000;
    /// Engines that a begun turn is told of, at most.
    static constexpr std::size_t max_reported_holders = 2;

    [[nodiscard]] std::vector<store_map> newer_than(map_epoch epoch) const;
    [[nodiscard]] std::vector<scheduling::cached_prefix> holders_of(
        const std::vector<scheduling::prefix_point>& prompt) const;
    void append_changes(const waiting_work& work, std::vector<turn_change>& changes) const;
    [[nodiscard]] begin_reply answer(const begin_request& request, bool durable) const;
    [[nodiscard]] copy_reply answer(const copy_request& request) const;
    void note_copied(const copy_reply& reply);

    store_id self_;
    store_map map_;
    turn_table turns_;
    bool map_to_keep_ = false;
    /// Epoch of the map that is durable here.
    map_epoch kept_epoch_ = 0;
    map_epoch keeping_epoch_ = 0;
    std::vector<waiting_work> waiting_;
    std::vector<waiting_work> writing_;
    std::optional<copy_progress> copying_;
    std::set<std::string> known_;
    /// Where each source's copy goes on.
    std::map<store_id, std::string> copied_up_to_;
    std::size_t source_offset_ = 0;
    map_epoch copied_epoch_ = 0;
    /// Which engine holds which prompt, as the settled turns tell. In memory only: what a restart
    /// forgets costs time, not correctness.
    scheduling::cache_map held_{max_cached_prefixes};
};

}  // namespace tallyfold::turns
