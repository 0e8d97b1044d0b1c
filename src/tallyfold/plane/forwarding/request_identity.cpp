#include "tallyfold/plane/forwarding/request_identity.hpp"

namespace tallyfold::forwarding {

poison::content_key content_key_of(const forwarded_request& request) {
    const std::string tenant = request.tenant_name();
    const std::string* host = request.head.headers.find("Host");
    poison::request_content content;
    content.tenant = tenant;
    content.method = request.head.method;
    content.host = host != nullptr ? std::string_view(*host) : std::string_view{};
    content.target = request.head.target;
    content.previous_turn = request.facts.previous_turn;
    content.prompt = request.facts.prompt.empty() ? 0 : request.facts.prompt.back().hash;
    content.body = request.caller_body();
    return poison::key_of(content);
}

}  // namespace tallyfold::forwarding
