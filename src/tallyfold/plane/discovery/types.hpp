#pragma once
/// @file
/// The deployment's list of back ends, and its distribution between nodes as differences.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/scheduling/backend_pool.hpp"

namespace tallyfold::discovery {

struct listed_backend {
    std::string service;
    scheduling::backend_member member;

    bool operator==(const listed_backend&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(service, member);
    }
};

/// An entry of the list that names no usable back end.
struct rejected_entry {
    /// Empty when the entry does not say which back end it describes.
    backend_name name;
    std::string reason;
};

/// One page of the list.
struct backend_page {
    std::vector<listed_backend> backends;
    std::vector<rejected_entry> rejected;
    /// Empty on the last page.
    std::string next_token;
};

/// Hash of a list's contents; 0 for no list.
using list_fingerprint = std::uint64_t;

list_fingerprint fingerprint_of(const std::vector<listed_backend>& backends);

/// Difference between two lists.
struct list_changes {
    /// Back ends that were added or changed.
    std::vector<listed_backend> changed;
    std::vector<backend_name> removed;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(changed, removed);
    }
};

/// Returns the difference between two lists, both sorted by name.
list_changes changes_between(const std::vector<listed_backend>& from,
                             const std::vector<listed_backend>& to);
/// Applies a difference.
/// @return the resulting list, sorted by name
std::vector<listed_backend> with_changes(const std::vector<listed_backend>& from,
                                         const list_changes& changes);

/// Update of the list, as sent between nodes.
struct list_update {
    list_fingerprint fingerprint = 0;
    /// Time from the poll of the list to the sending of this message, in milliseconds.
    std::uint32_t age_ms = 0;
    /// The list to which `changes` apply; 0 for the empty list, when they contain the full list.
    list_fingerprint base = 0;
    /// Empty when the receiver holds the same list.
    list_changes changes;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint, age_ms, base, changes);
    }
};

/// The newest list that this node holds, polled by itself or received from another node. Pure.
class backend_list_replica {
  public:
    /// @param kept_lists number of earlier lists to keep, so that nodes that hold one of them can
    /// be sent differences
    explicit backend_list_replica(std::size_t kept_lists = 0) : kept_lists_(kept_lists) {}

    /// Records a list that this node has polled.
    /// @return true when it differs from the one held
    bool record_poll(const std::vector<listed_backend>& backends, instant now);
    /// Applies an update from another node.
    /// @return true when the update is newer and changes the list
    bool apply_update(const list_update& update, instant now);
    /// Returns the update for a node that holds the list `held`; empty when this node holds none or
    /// none that is newer.
    /// @param held_age time since some node polled the list `held`
    [[nodiscard]] std::vector<list_update> update_for(list_fingerprint held, duration held_age,
                                                      instant now);

    [[nodiscard]] list_fingerprint fingerprint() const { return fingerprint_; }
    [[nodiscard]] const std::vector<listed_backend>& backends() const { return backends_; }
    [[nodiscard]] bool known() const { return fingerprint_ != 0; }
    /// When some node last polled the list held.
    [[nodiscard]] instant last_polled_at() const { return last_polled_at_; }

  private:
    struct earlier_list {
        list_fingerprint fingerprint = 0;
        std::vector<listed_backend> backends;
    };

    void replace(std::vector<listed_backend> backends, list_fingerprint fingerprint);
    /// Returns the difference from the list `held` to the current one; from the empty list when
    /// `held` is not kept.
    /// @param base set to the list that the difference applies to
    const list_changes& changes_from(list_fingerprint held, list_fingerprint& base);

    std::size_t kept_lists_;
    std::vector<listed_backend> backends_;
    list_fingerprint fingerprint_ = 0;
    instant last_polled_at_{};
    std::deque<earlier_list> earlier_;
    /// Differences to the current list by their base, computed on demand.
    std::map<list_fingerprint, list_changes> differences_;
};

}  // namespace tallyfold::discovery
