#pragma once
/// @file
/// Simulation of permit lenders, nodes and the messages between them, with delays, losses and
/// faults, in virtual time.

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "tallyfold/plane/tenants/permit_holder.hpp"
#include "tallyfold/plane/tenants/permit_lender.hpp"

namespace tallyfold::tests {

using namespace tenants;
using std::chrono::milliseconds;

inline const instant start_time(std::chrono::seconds(100));

inline routing::tenant limited_tenant(const std::string& name, double rate, double burst) {
    routing::tenant made;
    made.name = name;
    made.rate_per_second = rate;
    made.burst = burst;
    return made;
}

class quota_world {
  public:
    quota_world(std::uint64_t seed, std::size_t node_count, routing::tenant tenant,
                quota_rules rules)
        : random_(seed), rules_(rules), tenant_(std::move(tenant)) {
        for (int number = 0; number < 2; ++number) {
            lenders_.emplace_back(rules_);
            lenders_.back().use({tenant_});
            lenders_.back().start(start_time);
        }
        for (std::size_t number = 0; number < node_count; ++number) {
            nodes_.push_back(make_node(number));
        }
    }

    instant now = start_time;
    /// Times at which calls were admitted.
    std::deque<instant> spent;
    std::uint64_t refused = 0;
    std::uint64_t returned = 0;
    double message_loss = 0;
    /// Kind of all calls.
    permit_need need = permit_need::running_program;
    /// Share of calls, 0 to 1, that hold a permit for up to `longest_hold` and return it without
    /// running.
    double late_return_share = 0;
    duration longest_hold = std::chrono::seconds(3);
    bool lender_reachable = true;

    void change_lender() {
        active_lender_ = 1 - active_lender_;
        lenders_[active_lender_].use({tenant_});
        lenders_[active_lender_].start(now);
    }
    void change_limit(double rate, double burst) {
        tenant_ = limited_tenant(tenant_.name, rate, burst);
        for (permit_lender& lender : lenders_) {
            lender.use({tenant_});
        }
        for (node& each : nodes_) {
            each.holder->use({tenant_});
        }
    }
    void freeze(std::size_t number, duration length) { nodes_[number].frozen_until = now + length; }
    /// Replaces the node's process by a new one.
    void restart(std::size_t number) { nodes_[number] = make_node(number); }

    /// Ends all processes at once and restarts them after `outage`.
    void lose_power(duration outage) {
        messages_.clear();
        now += outage;
        change_lender();
        for (std::size_t number = 0; number < nodes_.size(); ++number) {
            restart(number);
        }
    }

    /// Advances by one millisecond. @param calls_a_second over all nodes together
    void step(double calls_a_second) {
        now += milliseconds(1);
        deliver();
        for (std::size_t number = 0; number < nodes_.size(); ++number) {
            if (now >= nodes_[number].frozen_until) {
                run_node(number);
            }
        }
        return_permits();
        arrivals_ += calls_a_second / 1'000;
        while (arrivals_ >= 1) {
            arrivals_ -= 1;
            const std::size_t chosen = random_() % nodes_.size();
            if (now >= nodes_[chosen].frozen_until) {
                call(chosen);
            }
        }
        for (permit_lender& lender : lenders_) {
            lender.expire(now);
        }
    }
    void run(duration length, double calls_a_second) {
        const instant end = now + length;
        while (now < end) {
            step(calls_a_second);
        }
    }

    /// Largest number of calls admitted within any span as long as the window.
    [[nodiscard]] std::size_t max_in_window() const { return max_count_in_window(spent); }
    /// Largest number of times that nodes lost the lender within such a span; each time allows a
    /// node one more call.
    [[nodiscard]] std::size_t max_lender_losses() const {
        return max_count_in_window(lender_losses_);
    }
    [[nodiscard]] std::size_t admitted_since(instant since) const {
        return static_cast<std::size_t>(
            std::count_if(spent.begin(), spent.end(), [&](instant at) { return at >= since; }));
    }
    [[nodiscard]] permit_lender& lender() { return lenders_[active_lender_]; }
    [[nodiscard]] double bound() const {
        const double window = std::chrono::duration<double>(rules_.window).count();
        return (tenant_.rate_per_second * window + tenant_.burst) * (1 + rules_.overshoot) +
               rules_.slack;
    }

  private:
    [[nodiscard]] std::size_t max_count_in_window(const std::deque<instant>& times) const {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > rules_.window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    struct waiting_call {
        std::uint64_t needed = 0;
        instant since{};
    };
    struct node {
        std::unique_ptr<permit_holder> holder;
        std::uint64_t process_id = 0;
        std::optional<instant> asked;
        instant last_report{};
        instant frozen_until{};
        std::uint64_t answered = 0;
        bool lender_lost = false;
        std::vector<waiting_call> waiting;
    };
    /// A call that holds a permit and will not run.
    struct held_call {
        std::size_t node = 0;
        std::uint64_t process_id = 0;
        instant taken{};
        instant until{};
    };
    struct message {
        instant at{};
        std::size_t node = 0;
        std::uint64_t process_id = 0;
        bool to_lender = false;
        permit_report report;
        permit_answer answer;
    };

    node make_node(std::size_t number) {
        node made;
        made.process_id = ++last_process_id_;
        made.holder = std::make_unique<permit_holder>(rules_, "node-" + std::to_string(number),
                                                      made.process_id);
        made.holder->use({tenant_});
        return made;
    }

    bool lost() { return !lender_reachable || random_() % 1'000 < message_loss * 1'000; }
    duration delay() { return milliseconds(1 + random_() % 6); }

    void deliver() {
        std::vector<message> due;
        std::erase_if(messages_, [&](const message& each) {
            const bool frozen = !each.to_lender && now < nodes_[each.node].frozen_until;
            if (each.at > now || frozen) {
                return false;
            }
            due.push_back(each);
            return true;
        });
        for (message& each : due) {
            if (each.to_lender) {
                message back;
                back.answer = lenders_[active_lender_].answer(each.report, now);
                back.node = each.node;
                back.at = now + delay();
                if (!lost()) {
                    messages_.push_back(std::move(back));
                }
            } else {
                take_answer(nodes_[each.node], each.node, each.answer);
            }
        }
    }

    void ask(node& asker, std::size_t number) {
        asker.asked = now;
        asker.last_report = now;
        message sent;
        sent.to_lender = true;
        sent.node = number;
        sent.report = asker.holder->report(now);
        sent.at = now + delay();
        if (!lost()) {
            messages_.push_back(std::move(sent));
        }
    }

    void take_answer(node& asker, std::size_t number, const permit_answer& answer) {
        if (!asker.asked || answer.sequence != asker.holder->sequence()) {
            return;
        }
        asker.asked.reset();
        if (!asker.holder->apply(answer, now)) {
            ask(asker, number);
            return;
        }
        asker.answered = answer.sequence;
        asker.lender_lost = false;
    }

    void end_waiting(node& asker, bool admitted) {
        asker.holder->end_wait(tenant_.name, need);
        admitted ? spent.push_back(now) : void(++refused);
    }

    void run_node(std::size_t number) {
        node& each = nodes_[number];
        if (each.asked && now - *each.asked > milliseconds(120)) {
            each.asked.reset();
            each.holder->unanswered();
            if (!each.lender_lost) {
                lender_losses_.push_back(now);
            }
            each.lender_lost = true;
        }
        std::erase_if(each.waiting, [&](const waiting_call& call) {
            if (each.holder->try_acquire(tenant_.name, now)) {
                end_waiting(each, true);
                return true;
            }
            if (each.lender_lost) {
                end_waiting(each, each.holder->try_acquire_without_lender(tenant_.name, now));
                return true;
            }
            if (each.answered >= call.needed) {
                const bool settling = each.holder->lender_settling();
                end_waiting(each,
                            settling && each.holder->try_acquire_without_lender(tenant_.name, now));
                return true;
            }
            return false;
        });
        const bool due = now - each.last_report >= milliseconds(250);
        const bool wanted = !each.waiting.empty() || (due && each.holder->should_report(now));
        if (!each.asked && wanted) {
            ask(each, number);
        }
    }

    /// @return true when the call that has just taken a permit is one of those that don't run
    bool hold_permit(std::size_t number) {
        if (late_return_share <= 0 || random_() % 1'000 >= late_return_share * 1'000) {
            return false;
        }
        const auto most = std::chrono::duration_cast<milliseconds>(longest_hold).count();
        const duration held = milliseconds(random_() % static_cast<std::uint64_t>(most));
        held_calls_.push_back({number, nodes_[number].process_id, now, now + held});
        return true;
    }
    void return_permits() {
        std::erase_if(held_calls_, [&](const held_call& call) {
            if (call.until > now) {
                return false;
            }
            node& holding = nodes_[call.node];
            if (holding.process_id == call.process_id) {
                holding.holder->release(tenant_.name, call.taken, now);
                ++returned;
            }
            return true;
        });
    }

    void call(std::size_t number) {
        node& taker = nodes_[number];
        if (taker.holder->try_acquire(tenant_.name, now)) {
            if (hold_permit(number)) {
                return;
            }
            spent.push_back(now);
            if (random_() % 50 == 0) {
                // The call was not run.
                taker.holder->release(tenant_.name, now, now);
                spent.pop_back();
                ++returned;
            }
            return;
        }
        if (taker.lender_lost) {
            taker.holder->try_acquire_without_lender(tenant_.name, now) ? spent.push_back(now)
                                                                        : void(++refused);
            return;
        }
        taker.holder->begin_wait(tenant_.name, need);
        taker.waiting.push_back({taker.holder->sequence() + 1, now});
    }

    std::mt19937_64 random_;
    quota_rules rules_;
    routing::tenant tenant_;
    std::vector<permit_lender> lenders_;
    std::size_t active_lender_ = 0;
    std::vector<node> nodes_;
    std::vector<message> messages_;
    std::vector<held_call> held_calls_;
    std::deque<instant> lender_losses_;
    double arrivals_ = 0;
    std::uint64_t last_process_id_ = 0;
};

}  // namespace tallyfold::tests
