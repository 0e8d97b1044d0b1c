#pragma once
/// @file
/// The list of back ends as the deployment keeps it, and one sight of it.

#include <cstdint>
#include <string>
#include <vector>

#include "tallyfold/common/time.hpp"
#include "tallyfold/scheduling/backend_pool.hpp"

namespace tallyfold::listing {

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

/// The whole list as some node saw it.
struct list_sight {
    list_fingerprint fingerprint = 0;
    /// How long ago it was seen, in milliseconds, when the message left.
    std::uint32_t age_ms = 0;
    /// Empty when the asker holds a list with this fingerprint.
    std::vector<listed_backend> backends;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(fingerprint, age_ms, backends);
    }
};

/// The newest list that a node knows, from its own sight or another node's. Pure.
class list_memory {
  public:
    /// This node has seen the list itself. @return true when it differs from the one held
    bool see(const std::vector<listed_backend>& backends, instant now);
    /// Another node has seen it. @return true when it is newer and differs
    bool learn(const list_sight& sight, instant now);
    /// What a node that holds `known` is to be told; nothing when none is known.
    [[nodiscard]] std::vector<list_sight> tell(list_fingerprint known, instant now) const;

    [[nodiscard]] list_fingerprint fingerprint() const { return fingerprint_; }
    [[nodiscard]] const std::vector<listed_backend>& backends() const { return backends_; }
    [[nodiscard]] bool known() const { return fingerprint_ != 0; }
    /// When some node saw it.
    [[nodiscard]] instant seen() const { return seen_; }

  private:
    std::vector<listed_backend> backends_;
    list_fingerprint fingerprint_ = 0;
    instant seen_{};
};

}  // namespace tallyfold::listing
