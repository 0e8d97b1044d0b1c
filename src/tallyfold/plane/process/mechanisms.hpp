#pragma once
/// @file
/// Which of a forwarder's mechanisms are switched off, one by one, to measure what each is worth;
/// none in service. Plain values, by the names that docs/CONFIGURATION.md lists.

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace tallyfold::settings {

enum class mechanism : std::uint8_t {
    /// The stores tell which engine holds a turn's prompt.
    prompt_holders,
    /// A program goes to the engine that rendezvous hashing of its identifier gives, the same at
    /// every forwarder.
    program_affinity,
    /// Calls wait at the forwarder while engines are slow or full.
    bounded_running,
    /// Full back ends are asked again while a request has time.
    back_off,
    /// A resumable stream that breaks off goes on within its answer.
    stream_resume,
    /// The policy's level for the engines' own order; off, the route's priority.
    urgency,
    /// Back ends that keep calls without a byte are left out for a while.
    silence,
    /// Back ends that fail are left out for a while.
    ejection,
    /// Requests that reach a node just before it knows its routes wait a moment.
    startup_wait,
    /// Each node keeps to a few back ends of a service.
    backend_subset,
    /// Permits of tenants are held for calls to come; off, each call asks for its own.
    spare_permits,
    /// Calls of programs under way wait for a permit that is about to be free.
    permit_wait,
    /// Nodes tell each other which back ends broke calls off; those get fewer requests for a while.
    backend_distrust,
    /// Requests about an object go to the back end that rendezvous hashing of its name gives, the
    /// same at every forwarder.
    object_affinity,
};

/// @param name as in docs/CONFIGURATION.md
bool is_mechanism(std::string_view name);

/// The mechanisms that are switched off.
class disabled_mechanisms {
  public:
    /// @param name one for which is_mechanism() is true
    void add(std::string_view name);
    [[nodiscard]] bool contains(mechanism asked) const { return disabled_.contains(asked); }
    [[nodiscard]] bool empty() const { return disabled_.empty(); }

  private:
    std::set<mechanism> disabled_;
};

}  // namespace tallyfold::settings
