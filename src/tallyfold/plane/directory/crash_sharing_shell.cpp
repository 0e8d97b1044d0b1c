#include "tallyfold/plane/directory/crash_sharing_shell.hpp"

#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::directory {

namespace {

constexpr auto required_format = protocol::format_version::v6;

}  // namespace

void crash_sharing::add_listener(const messaging::channel_pointer& channel, instant now) {
    std::weak_ptr<messaging::frame_channel>& listener = listeners_[channel.get()];
    if (listener.lock() == channel || channel->peer_format() < required_format) {
        return;
    }
    listener = channel;
    if (const auto status = relay_.all_told(now)) {
        channel->send(*status);
    }
}

void crash_sharing::receive(const messaging::channel_pointer& channel,
                            const poison::crash_report& report, instant now) {
    const crash_relay::decision decision = relay_.receive(report, now);
    metrics_.crash_contents.Set(static_cast<double>(relay_.crashes().size()));
    if (decision.told) {
        tell(*decision.told, now);
    }
    // After the other forwarders: the request goes on, perhaps at one of them, once this arrives.
    if (report.report != 0) {
        channel->send(decision.answer);
    }
}

void crash_sharing::tell(const poison::crash_status& status, instant now) {
    std::size_t told = 0;
    for (const auto& [address, listener] : listeners_) {
        if (const messaging::channel_pointer channel = listener.lock()) {
            channel->send(status);
            ++told;
        }
    }
    const poison::content_key content = status.contents.front().content;
    logging::write_event(logging::event_id::crashes_told,
                         "content=" + poison::to_string(content) + " consecutive=" +
                             std::to_string(relay_.crashes().consecutive(content, now)) +
                             " forwarders=" + std::to_string(told));
}

void crash_sharing::expire(instant now) {
    relay_.expire(now);
    std::erase_if(listeners_, [](const auto& entry) {
        const messaging::channel_pointer channel = entry.second.lock();
        return !channel || !channel->open();
    });
}

}  // namespace tallyfold::directory
