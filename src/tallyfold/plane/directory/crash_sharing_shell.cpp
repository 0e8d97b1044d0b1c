#include "tallyfold/plane/directory/crash_sharing_shell.hpp"

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
        for (const auto& [address, listener] : listeners_) {
            if (const messaging::channel_pointer told = listener.lock()) {
                told->send(*decision.told);
            }
        }
    }
    // After the other forwarders: the request goes on, perhaps at one of them, once this arrives.
    if (report.report != 0) {
        channel->send(decision.answer);
    }
}

void crash_sharing::expire(instant now) {
    relay_.expire(now);
    std::erase_if(listeners_, [](const auto& entry) {
        const messaging::channel_pointer channel = entry.second.lock();
        return !channel || !channel->open();
    });
}

}  // namespace tallyfold::directory
