/// @file
/// Command-line tool for operators.

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "tallyfold/program_api/cli/operator_commands.hpp"

namespace {

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        parts.push_back(part);
    }
    return parts;
}

std::string environment_or(const char* name, const std::string& fallback) {
    const char* value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

}  // namespace

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    TCLAP::CmdLine line(
        "Operates a tallyfold cluster. Commands:\n" + cli::command_summary() +
            "Examples:\n"
            "  tallyfoldctl class set licensing priority=10 policy=huayin\n"
            "  tallyfoldctl policy submit huayin policies/huayin.lua\n"
            "  tallyfoldctl drain add engine-3 \"new driver\"\n"
            "Flags may come from the environment: TALLYFOLD_CONTROL, TALLYFOLD_OPERATOR, "
            "TALLYFOLD_OPERATOR_KEY_FILE, TALLYFOLD_GATEWAY.",
        ' ', "0.1.0");
    TCLAP::ValueArg<std::string> control("", "control", "Control nodes' HTTP addresses", false,
                                         environment_or("TALLYFOLD_CONTROL", ""), "ip:port,ip:port",
                                         line);
    TCLAP::ValueArg<std::string> name("", "operator", "Operator's name", false,
                                      environment_or("TALLYFOLD_OPERATOR", ""), "name", line);
    TCLAP::ValueArg<std::string> key("", "key-file", "File with the operator's key", false,
                                     environment_or("TALLYFOLD_OPERATOR_KEY_FILE", ""), "file",
                                     line);
    TCLAP::ValueArg<std::string> gateway("", "gateway", "A gateway, for explain", false,
                                         environment_or("TALLYFOLD_GATEWAY", ""), "ip:port", line);
    TCLAP::SwitchArg as_json("", "json", "Print JSON", line);
    TCLAP::ValueArg<std::int64_t> version(
        "", "expected-version", "Version on which the change is based", false, -1, "N", line);
    TCLAP::ValueArg<std::string> identity(
        "", "command-identity", "Identity of the change, to resend it", false, "", "text", line);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "Command and its arguments", true,
                                                "command", line);
    line.parse(argument_count, arguments);
    cli::client_settings settings;
    settings.control = split(control.getValue());
    settings.operator_name = name.getValue();
    std::ifstream file(key.getValue());
    file >> settings.operator_key;
    cli::command_options options;
    options.json = as_json.getValue();
    if (version.getValue() >= 0) {
        options.expected_version = static_cast<std::uint64_t>(version.getValue());
    }
    options.command_identity = identity.getValue();
    options.gateway = gateway.getValue();
    return static_cast<int>(cli::run_command(words.getValue(), options, cli::admin_client(settings),
                                             std::cout, std::cerr));
}
