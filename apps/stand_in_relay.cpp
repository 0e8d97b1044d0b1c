/// @file
/// Process of the TCP relay that delays and blocks links.

#include <tclap/CmdLine.h>

#include <iostream>
#include <sstream>

#include "stand_ins/relay_process.hpp"
#include "tallyfold/base/settings/program_flags.hpp"

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    TCLAP::CmdLine line("TCP relay for the links between zones", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> http("", "http-listen", "HTTP address for blocking links", true,
                                      "", "ip:port", line);
    TCLAP::MultiArg<std::string> routes("", "route", "A link", true,
                                        "name,listen,target,delay_microseconds", line);
    line.parse(argument_count, arguments);
    stand_ins::relay_process settings;
    settings.http_listen = http.getValue();
    for (const std::string& text : routes.getValue()) {
        std::istringstream stream(text);
        stand_ins::relay_route route;
        std::string delay;
        std::getline(stream, route.name, ',');
        std::getline(stream, route.listen, ',');
        std::getline(stream, route.target, ',');
        std::getline(stream, delay, ',');
        if (delay.empty()) {
            std::cerr << "route '" << text << "' is not name,listen,target,delay_microseconds\n";
            return 2;
        }
        route.delay = duration(std::stoll(delay));
        settings.routes.push_back(std::move(route));
    }
    return stand_ins::run_relay(settings, settings::stop_requested());
}
