#include "tallyfold/plane/directory/open_changes.hpp"

namespace tallyfold::directory {

std::optional<request_token> open_changes::find(const std::string& text) const {
    for (const auto& [token, open] : texts_) {
        if (open == text) {
            return token;
        }
    }
    return std::nullopt;
}

}  // namespace tallyfold::directory
