#include <filesystem>

#include "stand_ins/service_store.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/base/storage/record_format.hpp"

namespace tallyfold::stand_ins {

namespace {

struct service_event {
    std::string key;
    bool sealed = false;
    std::string answer;
    shard_id shard = 0;
    lease_epoch epoch = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(key, sealed, answer, shard, epoch);
    }
};

void apply(service_record& record, const service_event& event) {
    if (event.sealed) {
        record.sealed.insert(event.key);
        return;
    }
    record.answers[event.key] = event.answer;
    lease_epoch& epoch = record.epochs[event.shard];
    epoch = std::max(epoch, event.epoch);
}

}  // namespace

tl::expected<service_store, storage::storage_error> service_store::open(const std::string& path) {
    service_record recovered;
    std::uint64_t length = 0;
    if (std::filesystem::exists(path)) {
        const auto bytes = storage::read_file(path);
        if (!bytes) {
            return tl::unexpected(bytes.error());
        }
        const auto scanned = storage::scan_records(*bytes, path);
        if (!scanned) {
            return tl::unexpected(scanned.error());
        }
        for (const std::string_view payload : scanned->payloads) {
            if (const auto event = protocol::decode<service_event>(payload)) {
                apply(recovered, *event);
            }
        }
        length = scanned->valid_length;
    }
    auto file = std::filesystem::exists(path) ? storage::append_file::open_at(path, length)
                                              : storage::append_file::create(path);
    if (!file) {
        return tl::unexpected(file.error());
    }
    service_store store(std::move(*file));
    store.recovered_ = std::move(recovered);
    return store;
}

void service_store::add_run(const scheduler::run_request& request, const std::string& answer) {
    const service_event event{request.key.text(), false, answer, request.fence.shard,
                              request.fence.epoch};
    storage::append_record(waiting_, protocol::encode(event));
}

void service_store::add_seal(const scheduler::attempt_key& key) {
    storage::append_record(waiting_, protocol::encode(service_event{key.text(), true, {}, 0, 0}));
}

tl::expected<void, storage::storage_error> service_store::sync() {
    if (waiting_.empty()) {
        return {};
    }
    if (auto appended = file_.append(waiting_); !appended) {
        return appended;
    }
    waiting_.clear();
    return file_.sync();
}

}  // namespace tallyfold::stand_ins
