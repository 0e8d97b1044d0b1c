#pragma once
/// @file
/// A simulated forwarder: begins and settles turns of a few programs at the stores of a fleet, and
/// records the acknowledged results for the checks.

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "tallyfold/plane/turns/begin_coordinator.hpp"
#include "tallyfold/plane/turns/quorum_operations.hpp"
#include "tests/support/store_fleet.hpp"

namespace tallyfold::tests {

/// Defect that is injected to verify that the checks detect it.
enum class injected_defect : std::uint8_t {
    nothing,
    /// A joining store is reported as copied at once.
    copy_reported_early,
    /// The ledger of a program's other turns is removed from the stores' replies.
    ledger_omitted,
    /// Stores of other groups report turns that they hold as missing.
    turn_denied,
};

class simulated_forwarder {
  public:
    /// `random` and `now` belong to the simulation; they and `fleet` must outlive this object.
    simulated_forwarder(store_fleet& fleet, injected_defect fault, random_source& random,
                        const instant& now)
        : fleet_(fleet), fault_(fault), random_(random), now_(now) {}

    /// Merges newer group maps from the directory's table.
    void learn_table(const turns::store_table& table) { group_maps_.merge_newer(table); }

    void begin_turn() {
        const std::string request = "t" + std::to_string(++last_turn_);
        begin_attempt begun;
        begun.program = "program-" + std::to_string(random_.below(programs));
        if (!settled_.empty() && !random_.chance(0.3)) {
            auto chosen = settled_.begin();
            std::advance(chosen, static_cast<std::ptrdiff_t>(random_.below(settled_.size())));
            begun.previous = chosen->first;
            // Most turns continue a turn of the same program.
            begun.program = random_.chance(0.6) ? chosen->second : begun.program;
        }
        turns::begin_parameters question;
        question.reservation = {begun.program, request, 1, 60'000};
        question.previous = begun.previous;
        question.budget = program_budget;
        begun.until = now_ + std::chrono::milliseconds(1'500);
        begun.turn =
            std::make_unique<turns::begin_coordinator>(++last_operation_, question, group_maps_);
        begin_attempts_.emplace(request, std::move(begun));
        advance_begin(request);
    }

    /// Sends the due requests of a random unfinished begin operation. Requires
    /// has_unfinished_begins().
    void continue_random_begin() { advance_begin(random_key(begin_attempts_)); }
    /// Resends a random unfinished settlement. Requires has_unfinished_settlements().
    void resend_random_settlement() { send_settle_requests(random_key(unfinished_settlements_)); }
    [[nodiscard]] bool has_unfinished_begins() const { return !begin_attempts_.empty(); }
    [[nodiscard]] bool has_unfinished_settlements() const {
        return !unfinished_settlements_.empty();
    }
    /// Abandons all unfinished operations.
    void stop() {
        begin_attempts_.clear();
        unfinished_settlements_.clear();
    }

    /// Abandons all unfinished operations and forgets the group maps.
    void lose_power() {
        stop();
        group_maps_ = {};
    }
    [[nodiscard]] bool has_group_maps() const { return group_maps_.known(); }

    /// @return a random store of the group, from which the history is read
    turns::store_id nearest(const turns::store_map& map) {
        return map.current.empty() ? 0 : map.current[random_.below(map.current.size())].id;
    }

    /// Program of each durably settled turn.
    [[nodiscard]] const std::map<std::string, std::string>& settled() const { return settled_; }
    [[nodiscard]] const std::set<std::string>& admitted_requests() const {
        return admitted_requests_;
    }
    [[nodiscard]] int adopted() const { return adopted_; }
    [[nodiscard]] int refused() const { return refused_; }
    /// Number of begin operations whose settled previous turn was reported as unknown.
    [[nodiscard]] int false_unknowns() const { return false_unknowns_; }
    /// Number of programs whose admitted turns exceed their budget.
    [[nodiscard]] int overdrawn() const {
        return static_cast<int>(std::count_if(admitted_.begin(), admitted_.end(), [](auto& entry) {
            return entry.second > program_budget;
        }));
    }

  private:
    static constexpr token_count program_budget = 20;
    static constexpr int programs = 12;

    struct unfinished_settlement {
        turns::settle_operation operation;
        turns::turn_settlement settlement;
    };
    struct begin_attempt {
        std::string program;
        std::string previous;
        std::unique_ptr<turns::begin_coordinator> turn;
        instant until{};
    };

    void learn(const std::vector<turns::store_map>& newer) {
        for (const turns::store_map& map : newer) {
            group_maps_.merge_newer(map);
        }
    }

    void send_begin_request(const std::string& request, const turns::addressed_request& question) {
        const auto take = [this, request](const turns::store_reply& body) {
            on_begin_reply(request, body);
        };
        std::visit([&](const auto& body) { fleet_.send(question.store, body, take); },
                   question.body);
    }

    void advance_begin(const std::string& request) {
        const auto found = begin_attempts_.find(request);
        if (found == begin_attempts_.end()) {
            return;
        }
        turns::begin_coordinator& turn = *found->second.turn;
        const auto choose = [this](const turns::store_map& map) { return nearest(map); };
        if (turn.is_undecided() && now_ < found->second.until) {
            for (const turns::addressed_request& question :
                 turn.take_due_requests(now_, group_maps_, choose)) {
                send_begin_request(request, question);
            }
        }
        if (!turn.is_undecided() || now_ >= found->second.until) {
            finish_begin(request);
        }
    }

    void on_begin_reply(const std::string& request, const turns::store_reply& body) {
        const auto found = begin_attempts_.find(request);
        if (found == begin_attempts_.end()) {
            return;
        }
        turns::begin_coordinator& turn = *found->second.turn;
        if (const auto* begun = std::get_if<turns::begin_reply>(&body)) {
            learn(begun->newer_map);
            turns::begin_reply taken = *begun;
            if (fault_ == injected_defect::ledger_omitted) {
                taken.ledger.clear();
            }
            turn.on_reply(taken);
        } else if (const auto* history = std::get_if<turns::history_reply>(&body)) {
            turn.on_reply(*history);
        } else if (const auto* reply = std::get_if<turns::find_reply>(&body)) {
            learn(reply->newer_map);
            turns::find_reply taken = *reply;
            taken.held = taken.held && fault_ != injected_defect::turn_denied;
            turn.on_reply(taken);
        }
        advance_begin(request);
    }

    void finish_begin(const std::string& request) {
        const begin_attempt ended = std::move(begin_attempts_.at(request));
        begin_attempts_.erase(request);
        const turns::begin_decision begun = ended.turn->outcome();
        if (begun.result == turns::begin_result::unknown_previous) {
            false_unknowns_ += settled_.contains(ended.previous) ? 1 : 0;
        }
        refused_ += begun.result == turns::begin_result::over_budget ? 1 : 0;
        if (begun.result != turns::begin_result::admitted) {
            return;
        }
        ++admitted_[ended.program];
        admitted_requests_.insert(request);
        turns::turn_settlement settlement{ended.program,
                                          request,
                                          1,
                                          60'000,
                                          turns::turn_record{request, ended.previous, "in", "out"},
                                          {}};
        if (begun.adopted) {
            ++adopted_;
            settlement.adopted = begun.history;
        }
        const turns::store_map& map = group_maps_.groups[group_maps_.group_of(ended.program)];
        unfinished_settlements_.emplace(
            request, unfinished_settlement{turns::settle_operation(map), std::move(settlement)});
        send_settle_requests(request);
    }

    void send_settle_requests(const std::string& request) {
        unfinished_settlement& ending = unfinished_settlements_.at(request);
        ending.operation.switch_to_map(
            group_maps_.groups[group_maps_.group_of(ending.settlement.program)]);
        for (const turns::store_member& member : ending.operation.unanswered()) {
            turns::settle_request asked;
            asked.epoch = ending.operation.map().epoch;
            asked.settlement = ending.settlement;
            fleet_.send(member, asked, [this, request](const turns::store_reply& body) {
                on_settle_reply(request, std::get<turns::settle_reply>(body));
            });
        }
    }

    void on_settle_reply(const std::string& request, const turns::settle_reply& reply) {
        learn(reply.newer_map);
        const auto found = unfinished_settlements_.find(request);
        if (found == unfinished_settlements_.end()) {
            return;
        }
        found->second.operation.on_reply(reply);
        if (found->second.operation.is_durable()) {
            settled_.emplace(request, found->second.settlement.program);
            unfinished_settlements_.erase(found);
        }
    }

    template <class Entries>
    std::string random_key(const Entries& entries) {
        auto entry = entries.begin();
        std::advance(entry, static_cast<std::ptrdiff_t>(random_.below(entries.size())));
        return entry->first;
    }

    store_fleet& fleet_;
    injected_defect fault_;
    random_source& random_;
    const instant& now_;
    turns::operation_number last_operation_ = 0;
    int last_turn_ = 0;
    int adopted_ = 0;
    int refused_ = 0;
    int false_unknowns_ = 0;
    /// The newest group maps that the forwarder has received.
    turns::store_table group_maps_;
    std::map<std::string, begin_attempt> begin_attempts_;
    std::map<std::string, unfinished_settlement> unfinished_settlements_;
    std::map<std::string, std::string> settled_;
    std::map<std::string, token_count> admitted_;
    std::set<std::string> admitted_requests_;
};

}  // namespace tallyfold::tests
