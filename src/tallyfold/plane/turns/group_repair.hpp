#pragma once
/// @file
/// Repairs what this store missed: compares it with each other member of its group at intervals,
/// and decides which requests to fetch. Pure; repair_client sends the requests and passes in the
/// replies.
///
/// A write is complete at a majority, so a member that was down, cut off or refused to write lacks
/// it. Each member reports the requests that changed since it was last asked, or all of them after
/// its restart; this store fetches those that it lacks. One request is outstanding at a time, so
/// that a repair does not load the sources more than one page does.
///
/// Owns the position up to which each member's changes have been read.

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "tallyfold/plane/turns/copy_timeout.hpp"
#include "tallyfold/plane/turns/messages.hpp"

namespace tallyfold::turns {

/// A request of the repair and the member that it goes to.
struct repair_order {
    store_member source;
    std::variant<comparison_request, records_request> request;
};

class group_repair {
  public:
    /// Interval between the starts of two rounds. A round compares with each member once.
    static constexpr duration round_interval = std::chrono::seconds(1);
    /// Maximum number of requests to fetch at a time.
    static constexpr std::size_t max_requested_records = 1'024;

    /// Whether a member can be asked now.
    using reachability = std::function<bool(const store_member&)>;

    explicit group_repair(store_id self) : self_(self) {}

    /// Sets the group. Positions of members that stay are kept.
    /// @param group_count number of groups; 0 while unknown, which stops the repair
    void set_group(const store_map& map, group_number group_count, instant now);
    /// The next request to send; nothing while one is outstanding or the next round is not due.
    [[nodiscard]] std::optional<repair_order> next(const reachability& reachable, instant now);
    /// Handles a member's list of changed requests.
    void on_reply(const comparison_reply& reply, const turn_table& table, instant now);
    /// Handles records. @return true when they were requested and have to be written, followed by
    /// on_records_written()
    bool on_reply(const records_reply& reply, instant now);
    /// Handles the end of a write that may include the records received last.
    void on_records_written(const turn_table& table, instant now);

    /// Members of the group other than this store; empty while this store is joining.
    [[nodiscard]] const std::vector<store_member>& members() const { return members_; }
    /// Requests known to be missing here and not fetched yet.
    [[nodiscard]] std::size_t missing_count() const { return missing_.size(); }
    /// Requests fetched since the start.
    [[nodiscard]] std::uint64_t repaired_count() const { return repaired_; }
    /// Longest time since the end of a complete comparison with a member; zero without members.
    [[nodiscard]] duration oldest_comparison(instant now) const;

  private:
    /// State of the exchange with the current source.
    enum class stage : std::uint8_t { idle, comparing, fetching, writing };

    struct member_progress {
        change_position position;
        /// End of the last complete comparison; before the first one, the time since when the store
        /// has been a member.
        instant compared_at{};
    };

    [[nodiscard]] const store_member* find_member(store_id id) const;
    /// Selects the next reachable member of the round.
    void select_source(const reachability& reachable);
    [[nodiscard]] repair_order order_for(const store_member& source);
    /// Accepts the position up to which the source's changes were compared.
    void finish_page(instant now);
    /// Ends the exchange with the current source; it is asked again in the next round.
    void end_source();

    store_id self_;
    group_number group_ = 0;
    group_number group_count_ = 0;
    std::vector<store_member> members_;
    std::map<store_id, member_progress> progress_;
    /// Members that remain in this round.
    std::deque<store_id> round_;
    instant next_round_at_{};
    store_id source_ = 0;
    stage stage_ = stage::idle;
    operation_number operation_ = 0;
    copy_timeout timeout_;
    /// Requests of the current page that are missing here, in the order in which they are fetched.
    std::vector<request_summary> missing_;
    /// Number of requests at the front of missing_ that the records received last cover.
    std::size_t covered_ = 0;
    change_position page_position_;
    bool page_is_last_ = true;
    std::uint64_t repaired_ = 0;
};

}  // namespace tallyfold::turns
