#pragma once
/// @file
/// Lends tenants' permits while this node leads the directory. Owns the lender; relies on the core
/// for who leads and which limits are in force. Belongs to the loop thread.

#include <memory>
#include <optional>

#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/process/node_settings.hpp"
#include "tallyfold/plane/tenants/permit_lender.hpp"

namespace tallyfold::directory {

class permit_lending {
  public:
    /// @param core null while the data folder can't be used
    permit_lending(const settings::node_settings& settings,
                   const std::unique_ptr<directory_core>& core);

    /// Begins or ends lending as this node gains or loses the lead, takes over changed limits, and
    /// forgets nodes that have been silent.
    void tick(instant now);
    /// The answer to a node that reports what it has spent. Needs a core.
    [[nodiscard]] tenants::permit_answer answer(const tenants::permit_report& report, instant now);

  private:
    /// Logs what a node's process has told a lender that hadn't heard of it.
    void log_heard(const tenants::permit_report& report, instant now) const;
    void handle_leadership_change(instant now);

    const std::unique_ptr<directory_core>& core_;
    tenants::permit_lender lender_;
    /// Version of the limits that are lent by; nothing while this node doesn't lend.
    std::optional<routing::configuration_version> lending_by_;
    instant lending_since_{};
};

}  // namespace tallyfold::directory
