#include "tallyfold/plane/discovery/list_source.hpp"

#include <algorithm>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/base/protocol/compression.hpp"

namespace tallyfold::discovery {

namespace {

/// Maximum number of contents kept, also for nodes that are still fetching them.
constexpr std::size_t max_contents = 8;
/// Maximum size of a part in bytes; small, so that other messages on the connection are not
/// delayed, and so that the parts on their way to all nodes take little memory.
constexpr std::size_t max_part_bytes = 32U << 10U;

}  // namespace

list_source::content& list_source::create(list_fingerprint base, const backend_list& list) {
    const list_content difference = list.content_since(base);
    content created;
    created.base = difference.base;
    created.result = difference.result;
    created.bytes = protocol::compress(protocol::encode(difference));
    created.id = std::max<std::uint64_t>(1, stable_hash(created.bytes));
    ++encoded_count_;
    if (contents_.size() >= max_contents) {
        contents_.pop_front();
    }
    contents_.push_back(std::move(created));
    return contents_.back();
}

list_source::content& list_source::content_for(const list_request& request,
                                               const backend_list& list) {
    const auto find = [this](const auto& matches) {
        return std::find_if(contents_.begin(), contents_.end(), matches);
    };
    auto found = find([&](const content& each) { return each.id == request.content; });
    if (found != contents_.end()) {
        return *found;
    }
    const bool has_difference = request.held != 0 && list.has_journal_since(request.held);
    const list_fingerprint base = has_difference ? request.held : 0;
    found = find([&](const content& each) {
        const bool is_newest = each.result == list.fingerprint();
        // A node that holds a list of its own may have polled it later than an earlier full list.
        const bool precedes_difference = request.held == 0 && list.has_journal_since(each.result);
        return each.base == base && (is_newest || precedes_difference);
    });
    return found != contents_.end() ? *found : create(base, list);
}

list_part list_source::answer(const list_request& request, const backend_list& list, instant now) {
    list_part part;
    if (!list.known() || request.held == list.fingerprint()) {
        return part;
    }
    content& selected = content_for(request, list);
    if (selected.result == list.fingerprint()) {
        selected.polled_at = list.last_polled_at();
    }
    const bool continues = request.content == selected.id && request.offset < selected.bytes.size();
    part.content = selected.id;
    part.size = selected.bytes.size();
    part.offset = continues ? request.offset : 0;
    part.age_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, to_milliseconds(now - selected.polled_at)));
    part.bytes = selected.bytes.substr(part.offset, max_part_bytes);
    return part;
}

}  // namespace tallyfold::discovery
