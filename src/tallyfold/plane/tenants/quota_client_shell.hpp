#pragma once
/// @file
/// Gets permits from their lender, the directory's leader, for the calls of one node. Owns the
/// exchange of reports and answers, and the timers of calls that wait; relies on permit_holder for
/// every decision, and on directory_client for who leads and for the messages. Belongs to the loop
/// thread.
///
/// A call gets its permit from those at hand. Where there is none, the lender is asked, one report
/// at a time; when the lender is silent, permit_holder says how far the node may go without it.

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
    /// The limits in force.
    void use(const std::vector<routing::tenant>& tenants) { holder_.use(tenants); }
    /// A permit for one call, when need be after a question to the lender: within 120 ms, or within
    /// 400 ms for a call of a program under way where one is about to be free.
    asio::awaitable<permit_decision> acquire(tenant_name tenant, permit_need need);
    /// The call that a permit was acquired for was not run.
    /// @param taken as in the permit's decision
    /// @return false when the permit has left the window, and can't be spent again
    bool give_back(const tenant_name& tenant, instant taken);

  private:
    /// Notices a silent lender; reports what has changed, or what calls wait for.
    void tick();
    void send_report();
    void on_message(const messaging::peer_message& message);
    void on_answer(const permit_answer& answer);
    /// Has all waiting calls look again.
    void wake_all();
    permit_decision acquire_without_lender(const tenant_name& tenant);
    /// Has the lender told of a call that waits. @return the report whose answer tells of it
    std::uint64_t report_waiting_call();
    asio::awaitable<permit_decision> wait_for_permit(const tenant_name& tenant, permit_need need);
    /// Until an answer came, or for as long as one may take.
    asio::awaitable<void> wait_for_answer();
    /// What the lender's answer means for a call that got no permit by it. @param began when the
    /// call began to wait
    /// @return nothing when it goes on waiting
    [[nodiscard]] std::optional<permit_decision> refusal_for(const tenant_name& tenant,
                                                             permit_need need, instant began,
                                                             instant now) const;

    net::node_process& process_;
    directory::directory_client& directory_;
    permit_holder holder_;
    /// Time that a call of a program under way waits for a permit at most; zero while that is
    /// switched off.
    duration longest_wait_{};
    /// When the report under way was sent; nothing while none is.
    std::optional<instant> report_sent_;
    instant last_report_{};
    /// Number of the newest report whose answer was applied.
    std::uint64_t answered_ = 0;
    /// No answer has come since a report went unanswered.
    bool lender_silent_ = false;
    /// A call has come to wait since the report under way was sent.
    bool report_again_ = false;
    /// One for each waiting call.
    std::set<std::shared_ptr<asio::steady_timer>> waiting_;
};

}  // namespace tallyfold::tenants
