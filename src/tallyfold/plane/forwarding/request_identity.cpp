#include "tallyfold/plane/forwarding/request_identity.hpp"

namespace tallyfold::forwarding {

poison::content_key content_key_of(const forwarded_request& request) {
    return content_key_of(request.head, request.facts, request.tenant_name(),
                          request.caller_body());
}

poison::content_key content_key_of(const http::message_head& head, const request_metadata& facts,
                                   std::string_view tenant, std::string_view body) {
    const std::string* host = head.headers.find("Host");
    poison::request_content content;
    content.tenant = tenant;
    content.method = head.method;
    content.host = host != nullptr ? std::string_view(*host) : std::string_view{};
    content.target = head.target;
    content.previous_turn = facts.previous_turn;
    content.prompt = facts.prompt.empty() ? 0 : facts.prompt.back().hash;
    content.body = body;
    return poison::key_of(content);
}

}  // namespace tallyfold::forwarding
