#pragma once
/// @file
/// Back ends of one kind as seen by one node: membership, load, ejections. Pure; owns an
/// outlier_ejection for each back end and limits how many are ejected at once. Shared by the plane
/// and the program API.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/scheduling/outlier_ejection.hpp"

namespace tallyfold::scheduling {

enum class backend_kind : std::uint8_t { engine, app, tool };

struct backend_member {
    backend_name name;
    backend_kind kind = backend_kind::engine;
    /// "ip:port" of its HTTP interface.
    std::string address;
    std::string zone;
    /// What it runs, where back ends of a service may differ: the model that an engine has loaded,
    /// or the software version of a listed back end. Empty when unknown.
    std::string variant;
    /// Number of calls that it runs concurrently.
    std::uint32_t slots = 8;
    bool leaving = false;
    /// Sends no status: membership alone makes it available.
    bool listed_only = false;

    bool operator==(const backend_member&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name, kind, address, zone, variant, slots, leaving, listed_only);
    }
};

/// Load as reported by the back end; lags behind.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double cache_fill = 0;
    bool leaving = false;
};

struct backend_state {
    backend_member member;
    /// stable_hash() of the name, for rendezvous hashing over the whole pool.
    std::uint64_t name_hash = 0;
    load_report reported;
    /// This node's calls there at the time of the report; the other calls in the report are of
    /// other nodes.
    std::uint32_t own_at_report = 0;
    std::uint32_t own_outstanding = 0;
    token_count pending_prefill_tokens = 0;
    outlier_ejection ejection;
    /// Gets no new work until its address changes: drained by an operator, or its incarnation was
    /// replaced.
    bool drained = false;
    /// Gets no new work while its zone is evacuated.
    bool evacuated = false;
    /// When the membership list first showed it as leaving; the oldest instant when it did from the
    /// start, since it may have been leaving for long then.
    instant leaving_since{};
    /// Latest differences between the back end's clock and the local one, each too small by the
    /// delay of the answer.
    std::vector<duration> clock_samples;

    /// Lower bound of the back end's clock less the local one; empty before the first status.
    [[nodiscard]] std::optional<duration> clock_ahead() const;
    /// This node's calls plus those of others as last reported.
    [[nodiscard]] std::uint32_t outstanding() const;
    [[nodiscard]] bool leaving() const {
        return member.leaving || reported.leaving || drained || evacuated;
    }
};

class backend_pool {
  public:
    /// Share of the pool, 0 to 1, that may be ejected at once, so that a fault common to all back
    /// ends or local to this node doesn't empty the pool.
    static constexpr double max_ejected_share = 0.5;

    /// Replaces the membership list; back ends missing from it are dropped.
    void update(const std::vector<backend_member>& members);
    /// Adds a back end, or changes a known one. A changed address or variant means a new process,
    /// to which no earlier state applies.
    /// @param listed_at time of the membership list
    void insert(const backend_member& member, instant listed_at = {});
    void remove(const backend_name& name);
    void report(const backend_name& name, const load_report& load);
    /// @param ahead the back end's reported clock less the local one at the arrival of the report
    void add_clock_sample(const backend_name& name, duration ahead);
    void set_drained(const backend_name& name, bool drained);
    void set_evacuated(const backend_name& name, bool evacuated);

    void started(const backend_name& name, token_count prefill_tokens);
    /// Records the first part of an answer: the prompt has been prefilled.
    void prefilled(const backend_name& name, token_count prefill_tokens);
    void finished(const backend_name& name);
    void succeeded(const backend_name& name);
    void failed(const backend_name& name, instant now);
    /// Records a failed connection, which ejects the back end at once.
    void unreachable(const backend_name& name, instant now);

    [[nodiscard]] const backend_state* find(const backend_name& name) const;
    [[nodiscard]] const std::map<backend_name, backend_state>& all() const { return backends_; }
    /// True when the back end may get new work now.
    [[nodiscard]] bool available(const backend_state& backend, instant now) const;
    /// Available back ends, least loaded first, at most `limit`; only those with a free slot,
    /// unless `include_busy`.
    [[nodiscard]] std::vector<const backend_state*> least_loaded(std::size_t limit,
                                                                 const std::string& model,
                                                                 bool include_busy,
                                                                 instant now) const;

  private:
    void add_failure(const backend_name& name, double weight, instant now);
    void index(const backend_state& backend);
    void unindex(const backend_state& backend);
    template <class Change>
    void change(const backend_name& name, Change&& apply);

    std::map<backend_name, backend_state> backends_;
    /// Back ends by share of slots in use, to select the least loaded without a scan.
    std::set<std::pair<double, backend_name>> by_load_;
    std::size_t ejected_count(instant now) const;
};

}  // namespace tallyfold::scheduling
