#pragma once
/// @file
/// Back ends of one kind as one node sees them: members, load, ejections. Pure; owns an
/// outlier_ejection for each back end and bounds how many of them are ejected at once. Both halves
/// of the product use it.

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
    /// Model that an engine has loaded; empty for the other kinds.
    std::string model;
    /// Calls that it takes at once.
    std::uint32_t slots = 8;
    bool leaving = false;
    /// It sends no status of its own: that it stands on the list is enough to give it work.
    bool listed_only = false;

    bool operator==(const backend_member&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name, kind, address, zone, model, slots, leaving, listed_only);
    }
};

/// What a back end says of itself, with a lag.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double cache_fill = 0;
    bool leaving = false;
};

struct backend_state {
    backend_member member;
    load_report reported;
    /// Our own calls there at the time of the report; the rest of the report is others'.
    std::uint32_t own_at_report = 0;
    std::uint32_t own_outstanding = 0;
    token_count pending_prefill_tokens = 0;
    /// Leaves the back end out after failures that stand out.
    outlier_ejection ejection;
    /// Gets no new work: an operator's order, or its incarnation was replaced. Until its address
    /// changes.
    bool drained = false;
    /// Latest differences between the back end's clock and ours, each too small by the time that
    /// the answer was under way.
    std::vector<duration> clock_samples;

    /// How far the back end's clock is ahead of ours, at least; nothing before its first status.
    [[nodiscard]] std::optional<duration> clock_ahead() const;
    /// Our own calls plus the others' as last reported.
    [[nodiscard]] std::uint32_t outstanding() const;
    [[nodiscard]] bool leaving() const { return member.leaving || reported.leaving || drained; }
};

class backend_pool {
  public:
    /// Share of the pool that may be ejected at once, 0 to 1: a fault that all of them share must
    /// not empty it. Chosen, not measured: when more than half fail, the cause is likely shared, or
    /// this node's own.
    static constexpr double ejected_share_limit = 0.5;

    /// Takes the membership list as it stands. Back ends that left it are dropped.
    void update(const std::vector<backend_member>& members);
    void report(const backend_name& name, const load_report& load);
    /// @param ahead the back end's clock as it reported it, less ours when the report came
    void add_clock_sample(const backend_name& name, duration ahead);
    void set_drained(const backend_name& name, bool drained);

    void started(const backend_name& name, token_count prefill_tokens);
    /// The first piece of an answer came: its prefill is done.
    void prefilled(const backend_name& name, token_count prefill_tokens);
    void finished(const backend_name& name);
    void succeeded(const backend_name& name);
    void failed(const backend_name& name, instant now);
    /// Nothing listens there, or nothing answers a connection: it is left out at once.
    void unreachable(const backend_name& name, instant now);

    [[nodiscard]] const backend_state* find(const backend_name& name) const;
    [[nodiscard]] const std::map<backend_name, backend_state>& all() const { return backends_; }
    /// True when the back end may get new work now.
    [[nodiscard]] bool available(const backend_state& backend, instant now) const;
    /// Available back ends, least loaded first, at most `limit`; with a free slot only, unless
    /// `include_busy`.
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
    /// Order by share of slots in use, for picking without a scan.
    std::set<std::pair<double, backend_name>> by_load_;
    std::size_t ejected_count(instant now) const;
};

}  // namespace tallyfold::scheduling
