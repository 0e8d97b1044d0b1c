#pragma once
/// @file
/// Durable state of a service replica: one synced record per request and seal.

#include <string>
#include <vector>

#include "stand_ins/service_core.hpp"
#include "tallyfold/base/storage/file.hpp"

namespace tallyfold::stand_ins {

class service_store {
  public:
    static tl::expected<service_store, storage::storage_error> open(const std::string& path);

    /// State read from the file when it was opened.
    [[nodiscard]] const service_record& recovered() const { return recovered_; }
    void add_run(const scheduler::run_request& request, const std::string& answer);
    void add_seal(const scheduler::attempt_key& key);
    /// Blocks until all added records are synced to disk.
    tl::expected<void, storage::storage_error> sync();

  private:
    explicit service_store(storage::append_file file) : file_(std::move(file)) {}

    storage::append_file file_;
    std::string waiting_;
    service_record recovered_;
};

}  // namespace tallyfold::stand_ins
