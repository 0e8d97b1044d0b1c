#pragma once
/// @file
/// The list of back ends as the deployment keeps it, and one sight of it.

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

/// One page of the list.
struct backend_page {
    std::vector<listed_backend> backends;
    /// Empty on the last page.
    std::string next_token;
};

/// Tells lists apart; 0 stands for none.
using list_fingerprint = std::uint64_t;

list_fingerprint fingerprint_of(const std::vector<listed_backend>& backends);

/// What turns one list into another.
struct list_changes {
    /// Back ends that are new or have changed.
    std::vector<listed_backend> changed;
    std::vector<backend_name> removed;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(changed, removed);
    }
};

/// Both lists in the order of their names.
list_changes changes_between(const std::vector<listed_backend>& from,
                             const std::vector<listed_backend>& to);
/// @return the changed list, in the order of names
std::vector<listed_backend> with_changes(const std::vector<listed_backend>& from,
                                         const list_changes& changes);

/// The list as some node saw it.
struct list_sight {
    list_fingerprint fingerprint = 0;
    /// How long ago it was seen, in milliseconds, when the message left.
    std::uint32_t age_ms = 0;
    /// The list that `changes` start from; 0 for the empty one, so that they are the whole list.
    list_fingerprint base = 0;
    /// Nothing when the asker holds this very list.
    list_changes changes;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint, age_ms, base, changes);
    }
};

/// The newest list that a node knows, from its own sight or another node's. Pure.
class list_memory {
  public:
    /// @param kept_lists earlier lists that are remembered, so that whoever holds one of them is
    /// told the differences only
    explicit list_memory(std::size_t kept_lists = 0) : kept_lists_(kept_lists) {}

    /// This node has seen the list itself. @return true when it differs from the one held
    bool see(const std::vector<listed_backend>& backends, instant now);
    /// Another node has seen it. @return true when it is newer and differs
    bool learn(const list_sight& sight, instant now);
    /// What a node that holds the list `held` is to be told; nothing when this node knows none, or
    /// none that is newer. @param held_age since some node saw the list that is held
    [[nodiscard]] std::vector<list_sight> tell(list_fingerprint held, duration held_age,
                                               instant now);

    [[nodiscard]] list_fingerprint fingerprint() const { return fingerprint_; }
    [[nodiscard]] const std::vector<listed_backend>& backends() const { return backends_; }
    [[nodiscard]] bool known() const { return fingerprint_ != 0; }
    /// When some node saw it.
    [[nodiscard]] instant seen() const { return seen_; }

  private:
    struct earlier_list {
        list_fingerprint fingerprint = 0;
        std::vector<listed_backend> backends;
    };

    void replace(std::vector<listed_backend> backends, list_fingerprint fingerprint);
    /// Changes from the list `held` to the current one; from the empty list when it isn't
    /// remembered. @param base gets the list that they start from
    const list_changes& changes_from(list_fingerprint held, list_fingerprint& base);

    std::size_t kept_lists_;
    std::vector<listed_backend> backends_;
    list_fingerprint fingerprint_ = 0;
    instant seen_{};
    std::deque<earlier_list> earlier_;
    /// Changes to the current list by where they start, as far as they have been asked for.
    std::map<list_fingerprint, list_changes> told_;
};

}  // namespace tallyfold::discovery
