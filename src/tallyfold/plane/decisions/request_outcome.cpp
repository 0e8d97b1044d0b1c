#include "tallyfold/plane/decisions/request_outcome.hpp"

namespace tallyfold::forwarding {

std::string_view text_of(request_outcome outcome) {
    switch (outcome) {
        case request_outcome::answered:
            return "answered";
        case request_outcome::broken_off:
            return "broken_off";
        case request_outcome::client_disconnected:
            return "caller_left";
        case request_outcome::failed:
            return "failed";
        case request_outcome::refused:
            return "refused";
        case request_outcome::no_route:
            return "no_route";
        case request_outcome::over_budget:
            return "over_budget";
        case request_outcome::unknown_turn:
            return "unknown_turn";
        case request_outcome::unknown:
            break;
    }
    return "unknown";
}

}  // namespace tallyfold::forwarding
