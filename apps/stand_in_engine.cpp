/// @file
/// Process of the emulated model engine.

#include <tclap/CmdLine.h>

#include "stand_ins/backend_process.hpp"
#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/settings/program_flags.hpp"

int main(int argument_count, char** arguments) {
    using namespace tallyfold;
    TCLAP::CmdLine line("Stand-in model engine", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> name("", "name", "Name", true, "", "name", line);
    TCLAP::ValueArg<std::string> listen("", "listen", "HTTP address", true, "", "ip:port", line);
    TCLAP::ValueArg<std::string> zone("", "zone", "Zone", false, "", "zone", line);
    TCLAP::ValueArg<std::string> ledger("", "ledger", "Ledger file", false, "", "file", line);
    TCLAP::ValueArg<std::string> weights("", "weight-store", "Address of the weight store", false,
                                         "", "ip:port", line);
    TCLAP::ValueArg<std::uint64_t> cache("", "cache-tokens", "Capacity of the cache in tokens",
                                         false, 200'000, "N", line);
    TCLAP::ValueArg<unsigned> batch("", "batch-limit", "Sequences per step", false, 8, "N", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed", false, 1, "S", line);
    line.parse(argument_count, arguments);
    stand_ins::engine_process settings;
    settings.core.name = name.getValue();
    settings.core.zone = zone.getValue();
    settings.core.cache_tokens = cache.getValue();
    settings.core.batch_limit = batch.getValue();
    settings.core.seed = combine_hash(seed.getValue(), stable_hash(name.getValue()));
    settings.listen = listen.getValue();
    settings.ledger_path = ledger.getValue();
    settings.weight_store = weights.getValue();
    return stand_ins::run_engine(settings, settings::stop_requested());
}
