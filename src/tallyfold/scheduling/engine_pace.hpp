#pragma once
/// @file
/// How quickly the engines of one service work, learned from the answers that are relayed:
/// milliseconds that an engine needs for a token of a prompt, the time between events, and how much
/// slower than on an idle engine that is now. Pure; backend_registry owns one for each service.
/// Placement weighs engines by it, admission_window bounds running calls by the slowdown.
///
/// No deployment's figures enter: slow, cold and busy engines show up in what they send.

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::scheduling {

class engine_pace {
  public:
    /// An engine whose latest event is older than this counts as working at the usual pace. Chosen,
    /// not measured: some tens of events, which come 25 to 76 ms apart.
    static constexpr duration memory = std::chrono::milliseconds(1'500);

    /// An engine has read `tokens` that it lacked, and sent its first byte after `took`.
    void prompt_read(token_count tokens, duration took);
    /// `events` events of one stream have come, the last of them at `now`, after `took` in all.
    void events_came(const backend_name& engine, std::size_t events, duration took, instant now);
    /// A stream has ended, having made its events after the first at this mean distance.
    void stream_ended(duration mean_gap);
    /// A call has been answered, `took` after it was sent.
    void call_ended(duration took);
    /// Forgets what is known of an engine that is gone.
    void forget(const backend_name& engine) { engines_.erase(engine); }

    /// Time that an engine with nothing else to do needs for a prompt, in milliseconds a token; 0
    /// while it isn't known.
    [[nodiscard]] double read_ms_per_token() const { return read_ms_per_token_; }
    /// Time between two events of a stream on an engine with little to do, in milliseconds; 0 while
    /// it isn't known.
    [[nodiscard]] double idle_gap_ms() const { return idle_gap_ms_; }
    /// What a call takes as a rule at present, in milliseconds; 0 while it isn't known.
    [[nodiscard]] double call_ms() const { return call_ms_; }
    /// Time between two events at the engine now, in milliseconds.
    [[nodiscard]] double gap_ms(const backend_name& engine, instant now) const;
    /// How many times slower than idle the middle one of the latest events came, over all engines;
    /// 1 while it isn't known.
    [[nodiscard]] double slowdown(instant now) const;

  private:
    struct engine_state {
        double gap_ms = 0;
        instant latest{};
    };
    struct recent_gap {
        double gap_ms = 0;
        instant at{};
    };
    /// The slowdown is the median of the latest samples of all engines: of this many at most, not
    /// older than this, and 1 with fewer than `min_gaps`. Chosen, not measured: three adjustments
    /// of admission_window, and few enough to follow a burst that begins.
    static constexpr std::size_t kept_gaps = 64;
    static constexpr duration recent = std::chrono::milliseconds(300);
    static constexpr std::size_t min_gaps = 5;

    std::map<backend_name, engine_state> engines_;
    std::vector<recent_gap> recent_gaps_;
    std::size_t next_gap_ = 0;
    double usual_gap_ms_ = 0;
    double idle_gap_ms_ = 0;
    double read_ms_per_token_ = 0;
    double call_ms_ = 0;
};

}  // namespace tallyfold::scheduling
