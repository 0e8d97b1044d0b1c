/// @file
/// Process of the emulated app or tool service replica.

#include <tclap/CmdLine.h>

#include "stand_ins/backend_process.hpp"
#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/settings/program_flags.hpp"

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    TCLAP::CmdLine line("Stand-in app or tool service", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> name("", "name", "Name", true, "", "name", line);
    TCLAP::ValueArg<std::string> listen("", "listen", "HTTP address", true, "", "ip:port", line);
    TCLAP::ValueArg<std::string> ledger("", "ledger", "Ledger file", false, "", "file", line);
    TCLAP::ValueArg<std::string> record("", "record", "File of the durable state", true, "", "file",
                                        line);
    TCLAP::ValueArg<double> hangs("", "hang-share", "Fraction of requests that are never answered",
                                  false, 0.0, "0..1", line);
    TCLAP::ValueArg<unsigned> shortest("", "shortest-ms", "Shortest answer time", false, 2, "ms",
                                       line);
    TCLAP::ValueArg<unsigned> longest("", "longest-ms", "Longest answer time", false, 10, "ms",
                                      line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed", false, 1, "S", line);
    line.parse(argument_count, arguments);
    stand_ins::service_process settings;
    settings.core.name = name.getValue();
    settings.core.hang_share = hangs.getValue();
    settings.core.shortest_answer = std::chrono::milliseconds(shortest.getValue());
    settings.core.longest_answer = std::chrono::milliseconds(longest.getValue());
    settings.core.seed = combine_hash(seed.getValue(), stable_hash(name.getValue()));
    settings.listen = listen.getValue();
    settings.ledger_path = ledger.getValue();
    settings.record_path = record.getValue();
    return stand_ins::run_service(settings, settings::stop_requested());
}
