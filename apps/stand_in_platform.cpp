/// @file
/// Process of the stand-in for the platform's membership list and weight store.

#include <tclap/CmdLine.h>

#include <iostream>
#include <sstream>

#include "stand_ins/platform_process.hpp"
#include "tallyfold/base/settings/program_flags.hpp"
#include "tallyfold/program_api/scheduler/backend_http_codec.hpp"

namespace {

/// Parses "kind,name,address,zone,model,slots".
std::optional<tallyfold::scheduling::backend_member> parse_member(const std::string& text) {
    std::istringstream stream(text);
    std::vector<std::string> fields;
    std::string field;
    while (std::getline(stream, field, ',')) {
        fields.push_back(field);
    }
    constexpr std::size_t field_count = 6;
    if (fields.size() != field_count) {
        return std::nullopt;
    }
    const auto kind = tallyfold::scheduler::parse_backend_kind(fields[0]);
    if (!kind) {
        return std::nullopt;
    }
    tallyfold::scheduling::backend_member member;
    member.kind = *kind;
    member.name = fields[1];
    member.address = fields[2];
    member.zone = fields[3];
    member.variant = fields[4];
    member.slots = static_cast<std::uint32_t>(std::stoul(fields[5]));
    return member;
}

}  // namespace

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    TCLAP::CmdLine line("Stand-in membership list and weight store", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "HTTP address", true, "", "ip:port", line);
    TCLAP::MultiArg<std::string> members("", "member", "A back end", true,
                                         "kind,name,address,zone,model,slots", line);
    TCLAP::ValueArg<unsigned> lag("", "list-lag-ms", "Delay of the membership list", false, 1500,
                                  "ms", line);
    line.parse(argument_count, arguments);
    stand_ins::platform_process settings;
    settings.listen = listen.getValue();
    settings.list_lag = std::chrono::milliseconds(lag.getValue());
    for (const std::string& text : members.getValue()) {
        const auto member = parse_member(text);
        if (!member) {
            std::cerr << "member '" << text << "' is not kind,name,address,zone,model,slots\n";
            return 2;
        }
        settings.members.members.push_back(*member);
    }
    return stand_ins::run_platform(settings, settings::stop_requested());
}
