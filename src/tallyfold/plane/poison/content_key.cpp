#include "tallyfold/plane/poison/content_key.hpp"

#include <array>
#include <charconv>

#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::poison {

content_key key_of(const request_content& content) {
    content_key key = content.prompt;
    for (const std::string_view part : {content.tenant, content.method, content.host,
                                        content.target, content.previous_turn, content.body}) {
        key = combine_hash(key, stable_hash(part));
    }
    return key;
}

std::string to_string(content_key key) {
    constexpr std::size_t digits = 16;
    std::array<char, digits> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + digits, key, 16).ptr;
    const std::string text(buffer.data(), end);
    return std::string(digits - text.size(), '0') + text;
}

}  // namespace tallyfold::poison
