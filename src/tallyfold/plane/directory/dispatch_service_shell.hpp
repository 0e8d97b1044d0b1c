#pragma once
/// @file
/// Runs the dispatchers of the engine groups that forwarders ask this directory node for. Owns the
/// dispatchers, the channels of the forwarders that use them, and their metrics; takes the engines
/// from the list of back ends and their services from the configuration. Runs on the loop thread.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "tallyfold/plane/directory/backend_list_sharing_shell.hpp"
#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/directory/dispatch_metrics.hpp"
#include "tallyfold/plane/dispatch/dispatcher.hpp"
#include "tallyfold/plane/dispatch/engine_groups.hpp"
#include "tallyfold/plane/messaging/frame_channel_shell.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::directory {

class dispatch_service {
  public:
    /// @param core null while the data folder is unavailable
    dispatch_service(net::node_process& process, const backend_list_sharing& list,
                     const std::unique_ptr<directory_core>& core);

    void receive(const messaging::channel_pointer& channel, const dispatch::place_request& request,
                 instant now);
    void receive(const messaging::channel_pointer& channel, const dispatch::place_release& release,
                 instant now);
    void receive(const messaging::channel_pointer& channel, const dispatch::place_renewal& renewal,
                 instant now);
    /// Ends leases and waits, follows the list of back ends, and writes logs and metrics; to be
    /// called each 20 ms.
    void tick(instant now);

  private:
    /// Engines of a service by group, as of the list of back ends in use.
    struct service_engines {
        std::vector<std::vector<scheduling::backend_member>> groups;
        std::map<backend_name, dispatch::group_index> group_of;
        token_count cache_tokens = 0;
    };
    /// Lines that are written once a second at most, with the number of occurrences.
    struct bounded_line {
        std::uint64_t count = 0;
        instant written_at{};
        std::string fields;
    };

    /// Rebuilds the groups when the list, the evacuated zones or the configuration have changed.
    void follow_list();
    [[nodiscard]] service_engines engines_of(const routing::service& service,
                                             const std::set<std::string>& evacuated) const;
    void update_dispatcher(const dispatch::engine_group& group, dispatch::dispatcher& target);
    /// Dispatcher of the group, created when the service has engines; null otherwise.
    dispatch::dispatcher* dispatcher_for(const dispatch::engine_group& group);
    /// Groups that a released call may be known in.
    [[nodiscard]] std::vector<dispatch::engine_group> groups_of_call(
        const dispatch::place_release& release, const dispatch::released_call& call) const;
    void send(const std::vector<dispatch::addressed_answer>& answers);
    void record(const dispatch::addressed_answer& addressed);
    void note_fault(const node_name& from, dispatch::message_fault fault);
    void write_room(instant now);
    void write_bounded(bounded_line& line, logging::event_id id, instant now);

    net::node_process& process_;
    const backend_list_sharing& list_;
    const std::unique_ptr<directory_core>& core_;
    dispatch_metrics metrics_;
    std::map<std::string, service_engines> services_;
    std::map<dispatch::engine_group, dispatch::dispatcher> dispatchers_;
    std::map<node_name, std::weak_ptr<messaging::frame_channel>> channels_;
    /// Versions of the inputs that services_ was built from.
    discovery::list_fingerprint list_in_use_ = 0;
    std::uint64_t evacuations_in_use_ = 0;
    routing::configuration_version configuration_in_use_ = routing::no_version;
    instant room_written_at_{};
    bounded_line forced_;
    bounded_line ignored_;
};

}  // namespace tallyfold::directory
