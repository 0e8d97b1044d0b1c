#pragma once
/// @file
/// Gets permits from their keeper for the calls of one node. Belongs to the loop thread;
/// permit_holder decides.

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
    asio::awaitable<permit_decision> acquire(tenant_name tenant, permit_need need);
    /// The call that a permit was acquired for was not run.
    void give_back(const tenant_name& tenant);
    [[nodiscard]] std::size_t active_tenants() const { return holder_.active(); }

  private:
    void tick();
    void ask();
    void on_message(const messaging::peer_message& message);
    void on_answer(const permit_answer& answer);
    void wake_all();
    permit_decision without_keeper(const tenant_name& tenant);
    /// Has the keeper told of a call that waits. @return the report whose answer tells of it
    std::uint64_t ask_for_waiting();
    asio::awaitable<permit_decision> wait_for_permit(const tenant_name& tenant, permit_need need);

    net::node_process& process_;
    directory::directory_client& directory_;
    permit_holder holder_;
    /// A call of a program under way waits so long for room.
    duration longest_wait_{};
    /// The report that is under way was sent then; nothing while none is.
    std::optional<instant> asked_;
    instant last_report_{};
    /// The newest report that an answer was applied of.
    std::uint64_t answered_ = 0;
    /// No answer has come since a report went unanswered.
    bool silent_ = false;
    /// A call has come to wait since the report that is under way.
    bool ask_again_ = false;
    std::set<std::shared_ptr<asio::steady_timer>> waiting_;
};

}  // namespace tallyfold::tenants
