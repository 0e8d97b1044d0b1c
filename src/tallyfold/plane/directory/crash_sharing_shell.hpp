#pragma once
/// @file
/// Exchanges crashes with the forwarders as crash_relay decides. Owns the relay and the channels of
/// the forwarders that are told. Runs on the loop thread.

#include <map>
#include <memory>

#include "tallyfold/plane/directory/crash_relay.hpp"
#include "tallyfold/plane/directory/directory_metrics.hpp"
#include "tallyfold/plane/messaging/frame_channel_shell.hpp"

namespace tallyfold::directory {

class crash_sharing {
  public:
    explicit crash_sharing(directory_metrics& metrics) : metrics_(metrics) {}

    /// Tells the node on this channel from now on, at first all that it needs. Does nothing for a
    /// channel that is told already, or whose node doesn't support the messages.
    void add_listener(const messaging::channel_pointer& channel, instant now);
    /// Answers a report, and tells all listeners what it changes for them.
    void receive(const messaging::channel_pointer& channel, const poison::crash_report& report,
                 instant now);
    /// Forgets expired crashes and closed channels.
    void expire(instant now);

  private:
    /// Tells all listeners what is known of one content.
    void tell(const poison::crash_status& status, instant now);

    directory_metrics& metrics_;
    crash_relay relay_;
    std::map<const messaging::frame_channel*, std::weak_ptr<messaging::frame_channel>> listeners_;
};

}  // namespace tallyfold::directory
