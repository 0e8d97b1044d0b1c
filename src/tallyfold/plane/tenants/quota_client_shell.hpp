#pragma once
/// @file
/// Obtains permits for one node's calls from the lender, the directory's leader. Owns the exchange
/// of reports and answers and the timers of waiting calls; permit_holder makes the decisions,
/// directory_client provides the leader and the transport. Used on the loop thread only.
///
/// A call takes an available permit. When there is none, the lender is asked, with one report in
/// flight at a time; while the lender is unavailable, permit_holder limits what the node may spend.

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>

#include "tallyfold/plane/directory/directory_client_shell.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"
#include "tallyfold/plane/tenants/permit_decision.hpp"
#include "tallyfold/plane/tenants/permit_holder.hpp"

namespace tallyfold::tenants {

class quota_client {
  public:
    quota_client(net::node_process& process, directory::directory_client& directory);

    void start();
    /// Sets the tenants' limits.
    void use(const std::vector<routing::tenant>& tenants) { holder_.use(tenants); }
    /// Acquires a permit for one call, asking the lender if necessary: within 120 ms, or within 400
    /// ms for a call of a running program when a permit is about to be free.
    asio::awaitable<permit_decision> acquire(tenant_name tenant, permit_need need);
    /// Returns the permit of a call that was not run.
    /// @param taken as in the permit's decision
    /// @return false when the permit has left the window, and can't be spent again
    bool return_permit(const tenant_name& tenant, instant taken);

  private:
    /// Detects an unresponsive lender; reports changes and waiting calls.
    void tick();
    void send_report();
    void on_message(const messaging::peer_message& message);
    void on_answer(const permit_answer& answer);
    /// Makes all waiting calls check for a permit again.
    void wake_waiting_calls();
    permit_decision acquire_without_lender(const tenant_name& tenant);
    /// Reports a waiting call to the lender. @return number of the report whose answer covers it
    std::uint64_t report_waiting_call();
    asio::awaitable<permit_decision> wait_for_permit(const tenant_name& tenant, permit_need need);
    /// Waits for an answer, at most for the answer timeout.
    asio::awaitable<void> wait_for_answer();
    /// Decides on a call that got no permit from the lender's answer.
    /// @param began when the call began to wait
    /// @return nothing when the call continues to wait
    [[nodiscard]] std::optional<permit_decision> refusal_for(const tenant_name& tenant,
                                                             permit_need need, instant began,
                                                             instant now) const;

    net::node_process& process_;
    directory::directory_client& directory_;
    permit_holder holder_;
    /// Longest time that a call of a running program waits for a permit; zero when waiting is
    /// switched off.
    duration max_permit_wait_{};
    /// When the report in flight was sent; empty while there is none.
    std::optional<instant> report_sent_;
    instant last_report_{};
    /// Number of the newest report whose answer was applied.
    std::uint64_t last_answered_ = 0;
    /// A report timed out, and no answer has arrived since.
    bool lender_unresponsive_ = false;
    /// A call began to wait after the report in flight was sent.
    bool has_unreported_call_ = false;
    /// One timer for each waiting call.
    std::set<std::shared_ptr<asio::steady_timer>> answer_timers_;
};

}  // namespace tallyfold::tenants
