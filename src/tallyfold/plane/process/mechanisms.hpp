#pragma once
/// @file
/// Mechanisms of a forwarder that the settings can switch off, for ablation experiments; none is
/// off in production. Plain values.

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace tallyfold::settings {

enum class mechanism : std::uint8_t {
    /// The stores report which engine has a turn's prompt cached.
    prompt_holders,
    /// Requests of a program go to the engine selected by rendezvous hashing of its identifier, the
    /// same at every forwarder.
    program_affinity,
    /// Requests queue at the forwarder while engines are slow or full.
    bounded_running,
    /// Requests that overloaded back ends reject are retried after a delay, within their deadline.
    back_off,
    /// An interrupted resumable stream is continued within the same response.
    stream_resume,
    /// Engines get the policy's urgency as priority; when off, the priority of the route.
    urgency,
    /// Back ends that send no byte of a response are ejected for a while.
    silence,
    /// Back ends that fail are ejected for a while.
    ejection,
    /// Requests that arrive before the node has its first routes wait briefly.
    startup_wait,
    /// Each node uses a subset of the back ends of a service.
    backend_subset,
    /// Permits of tenants are prefetched; when off, each request acquires its own.
    spare_permits,
    /// Requests of running programs wait for a permit that is about to be released.
    permit_wait,
    /// Nodes share which back ends aborted requests; these get fewer requests for a while.
    backend_distrust,
    /// Requests for an object go to the back end selected by rendezvous hashing of its name, the
    /// same at every forwarder.
    object_affinity,
    /// Calls to engines get their places from a dispatcher, where the settings call for it.
    dispatch,
    /// Dispatchers refuse calls that can't be served in time; when off, these wait.
    dispatch_refusal,
    /// Dispatchers serve tenants within their share first; when off, shares are ignored.
    dispatch_shares,
    /// Dispatchers place calls by the engines' speed; when off, all count as equally fast.
    engine_speed,
};

/// @param name the name in the setting "switched_off"
bool is_mechanism(std::string_view name);

/// Set of the mechanisms that are switched off.
class disabled_mechanisms {
  public:
    /// @param name a name for which is_mechanism() is true
    void add(std::string_view name);
    [[nodiscard]] bool contains(mechanism queried) const { return disabled_.contains(queried); }
    [[nodiscard]] bool empty() const { return disabled_.empty(); }

  private:
    std::set<mechanism> disabled_;
};

}  // namespace tallyfold::settings
