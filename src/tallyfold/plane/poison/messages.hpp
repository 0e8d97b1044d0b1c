#pragma once
/// @file
/// Messages about back ends that ended under a request, between forwarders and directory nodes.
/// Since format v6. Clocks differ between nodes, so times are sent as ages.

#include <cstdint>
#include <vector>

#include "tallyfold/base/common/types.hpp"
#include "tallyfold/plane/poison/content_key.hpp"

namespace tallyfold::poison {

/// A crash with its times as ages in microseconds when the message was made.
struct aged_crash {
    backend_name backend;
    std::uint64_t sent_us_ago = 0;
    std::uint64_t ended_us_ago = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(backend, sent_us_ago, ended_us_ago);
    }
};

/// Crashes under one content. Without any: a back end has answered it whole, so it is released.
struct content_crashes {
    content_key content = 0;
    std::vector<aged_crash> crashes;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(content, crashes);
    }
};

/// Matches an answer to its report; unique within the lifetime of the reporting process, above 0.
using report_number = std::uint64_t;

/// A forwarder's report to all directory nodes.
struct crash_report {
    report_number report = 0;
    content_crashes reported;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(report, reported);
    }
};

/// What a directory node knows of some contents: the answer to a report, and told to all forwarders
/// when a content gets its second consecutive crash or a further one, or is released after that.
struct crash_status {
    /// The report that is answered; 0 for a status that is told without one.
    report_number report = 0;
    std::vector<content_crashes> contents;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(report, contents);
    }
};

}  // namespace tallyfold::poison
