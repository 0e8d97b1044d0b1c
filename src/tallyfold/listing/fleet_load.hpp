#pragma once
/// @file
/// How many calls all nodes together send to each back end. Pure.
///
/// A forwarder sees its own calls only, one of hundreds in a large fleet. Each tells the directory
/// with its reports which back ends it has begun calls at, and which few it has an eye on; a
/// directory node answers with the rates of those few, summed over all forwarders. What travels is
/// bounded by the few that a forwarder watches, not by the number of back ends.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tallyfold/listing/types.hpp"

namespace tallyfold::listing {

/// Place of a back end in a list, in the order of names.
using list_position = std::uint16_t;

/// Calls that a forwarder has begun at a back end since it last told the same directory node.
struct begun_calls {
    list_position backend = 0;
    std::uint16_t count = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(backend, count);
    }
};

/// What a forwarder tells and asks; positions are those of the list that its report names.
struct load_question {
    std::vector<begun_calls> begun;
    std::vector<list_position> watched;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(begun, watched);
    }
};

/// Calls a second at one back end, of all nodes together.
struct told_rate {
    list_position backend = 0;
    float calls_per_second = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(backend, calls_per_second);
    }
};

/// A directory node's answer; positions are those of the list that it names.
struct load_answer {
    list_fingerprint list = 0;
    std::vector<told_rate> rates;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(list, rates);
    }
};

/// A directory node's sum over all forwarders.
class fleet_load {
  public:
    /// A call counts for about this long: several reports of each forwarder fall into it, and it is
    /// shorter than a program.
    static constexpr duration memory = std::chrono::milliseconds(1'000);
    /// Back ends that one answer tells of, at most; longer questions are cut.
    static constexpr std::size_t most_told = 64;

    /// Takes a forwarder's question. Positions beyond the list are passed over.
    void take(const load_question& question, const std::vector<listed_backend>& backends,
              instant now);
    [[nodiscard]] std::vector<told_rate> answer(const load_question& question,
                                                const std::vector<listed_backend>& backends,
                                                instant now) const;
    /// Forgets back ends that are not on the list any more.
    void keep_only(const std::vector<listed_backend>& backends);

  private:
    struct decaying_count {
        double calls = 0;
        instant at{};
    };
    [[nodiscard]] static double value_of(const decaying_count& count, instant now);

    std::map<backend_name, decaying_count> counts_;
};

/// A forwarder's side.
class load_watch {
  public:
    /// A rate that was told longer ago than this says nothing any more.
    static constexpr duration told_limit = std::chrono::milliseconds(2'000);
    /// Calls are remembered for this long, until each directory node has been told of them.
    static constexpr duration call_limit = std::chrono::milliseconds(2'000);
    /// Calls remembered at most; a node that begins more tells of the latest.
    static constexpr std::size_t most_calls = 4'096;

    void begun(const backend_name& backend, instant now);
    /// The back ends that this node may choose among without being tied to one.
    void watch(const std::string& service, std::vector<backend_name> backends);

    /// What to tell the directory node at `reader`, and to ask it.
    load_question ask(const std::string& reader, const list_memory& list, instant now);
    void learn(const load_answer& answer, const list_memory& list, instant now);

    /// True while some directory node tells rates.
    [[nodiscard]] bool knows_rates(instant now) const {
        return !rates_.empty() && now - learned_ <= told_limit;
    }
    /// Calls a second at the back end as last told; 0 when it isn't known.
    [[nodiscard]] double calls_per_second(const backend_name& backend, instant now) const;

  private:
    struct begun_call {
        instant at{};
        backend_name backend;
    };
    struct told {
        double calls_per_second = 0;
        instant at{};
    };

    std::map<std::string, std::vector<backend_name>> watched_;
    std::deque<begun_call> calls_;
    /// When each directory node was told last.
    std::map<std::string, instant> told_until_;
    std::map<backend_name, told> rates_;
    instant learned_{};
};

}  // namespace tallyfold::listing
