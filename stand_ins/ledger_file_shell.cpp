#include <algorithm>
#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>

#include "stand_ins/backend_protocol.hpp"
#include "stand_ins/ledger_file.hpp"

namespace tallyfold::stand_ins {

namespace {

using nlohmann::json;

std::int64_t microseconds_of(instant value) {
    return value.time_since_epoch().count();
}

std::string render(const ledger_entry& entry) {
    return json{{"key", entry.key.text()},
                {"kind", to_string(entry.kind)},
                {"backend", entry.backend},
                {"repeatable", entry.repeatable},
                {"started", microseconds_of(entry.started)},
                {"finished", microseconds_of(entry.finished)},
                {"completed", entry.completed},
                {"tokens", entry.tokens}}
        .dump();
}

journal::call_kind parse_kind(const std::string& text) {
    for (const auto kind :
         {journal::call_kind::model, journal::call_kind::app, journal::call_kind::tool}) {
        if (to_string(kind) == text) {
            return kind;
        }
    }
    return journal::call_kind::model;
}

ledger_entry parse(const json& line) {
    ledger_entry entry;
    entry.key = parse_attempt_key(line.at("key").get<std::string>()).value();
    entry.kind = parse_kind(line.at("kind").get<std::string>());
    entry.backend = line.at("backend").get<std::string>();
    entry.repeatable = line.at("repeatable").get<bool>();
    entry.started = instant(duration(line.at("started").get<std::int64_t>()));
    entry.finished = instant(duration(line.at("finished").get<std::int64_t>()));
    entry.completed = line.at("completed").get<bool>();
    entry.tokens = line.at("tokens").get<token_count>();
    return entry;
}

}  // namespace

ledger_file::ledger_file(const std::string& path) {
    if (!path.empty()) {
        file_.open(path, std::ios::app);
    }
}

void ledger_file::update(const std::vector<ledger_entry>& entries) {
    if (!file_.is_open()) {
        return;
    }
    bool wrote = false;
    for (; written_ < entries.size(); ++written_) {
        file_ << render(entries[written_]) << '\n';
        open_.insert(written_);
        wrote = true;
    }
    for (auto index = open_.begin(); index != open_.end();) {
        if (entries[*index].finished == instant{}) {
            ++index;
            continue;
        }
        file_ << render(entries[*index]) << '\n';
        index = open_.erase(index);
        wrote = true;
    }
    if (wrote) {
        file_.flush();
    }
}

std::vector<ledger_entry> read_ledgers(const std::string& folder) {
    std::vector<ledger_entry> all;
    for (const auto& found : std::filesystem::directory_iterator(folder)) {
        if (found.path().extension() != ".ledger") {
            continue;
        }
        std::map<std::pair<scheduler::attempt_key, instant>, ledger_entry> newest;
        std::ifstream file(found.path());
        std::string line;
        while (std::getline(file, line)) {
            const json parsed = json::parse(line, nullptr, false);
            if (parsed.is_object()) {  // The last line can be truncated by a kill.
                const ledger_entry entry = parse(parsed);
                newest[{entry.key, entry.started}] = entry;
            }
        }
        for (const auto& [key, entry] : newest) {
            all.push_back(entry);
        }
    }
    std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) {
        return std::tie(left.started, left.key) < std::tie(right.started, right.key);
    });
    return all;
}

}  // namespace tallyfold::stand_ins
