/// @file
/// Benchmarks admission: tenant lookup by key, acquiring and releasing a permit, and the permit
/// lender's processing of node reports. Prints one line per measurement.

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "tallyfold/plane/tenants/key_index.hpp"
#include "tallyfold/plane/tenants/permit_holder.hpp"
#include "tallyfold/plane/tenants/permit_lender.hpp"

namespace {

using namespace tallyfold;

constexpr std::size_t known_keys = 10'000;
constexpr std::size_t lookups = 200'000;
const instant beginning(std::chrono::seconds(100));

std::vector<routing::tenant> make_tenants(std::size_t count, std::size_t keys_each) {
    std::vector<routing::tenant> tenants(count);
    for (std::size_t number = 0; number < count; ++number) {
        tenants[number].name = "tenant-" + std::to_string(number);
        tenants[number].rate_per_second = 1'000'000;
        tenants[number].burst = 1'000'000;
        for (std::size_t key = 0; key < keys_each; ++key) {
            tenants[number].keys.push_back("key-" + std::to_string(number) + "-" +
                                           std::to_string(key));
        }
    }
    return tenants;
}

/// Mean time of one call of `work` in nanoseconds.
template <class Work>
double nanoseconds_each(std::size_t count, Work&& work) {
    const auto began = std::chrono::steady_clock::now();
    for (std::size_t number = 0; number < count; ++number) {
        work(number);
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
    return took.count() / static_cast<double>(count);
}

void measure_keys() {
    const auto tenants = make_tenants(known_keys / 2, 2);
    const tenants::key_index keys(tenants);
    std::size_t found = 0;
    const double each = nanoseconds_each(lookups, [&](std::size_t number) {
        const std::string& key = tenants[number % tenants.size()].keys[number % 2];
        found += keys.find(key) != nullptr ? 1 : 0;
    });
    std::printf("key among %zu: %.0f ns (%zu of %zu found)\n", known_keys, each, found, lookups);
}

tenants::permit_answer exchange(tenants::permit_holder& holder, tenants::permit_lender& lender,
                                instant now) {
    tenants::permit_answer answer = lender.answer(holder.report(now), now);
    holder.apply(answer, now);
    return answer;
}

void measure_permits() {
    const auto limits = make_tenants(84, 0);
    tenants::permit_lender lender{tenants::quota_rules{}};
    lender.use(limits);
    lender.start(beginning - std::chrono::seconds(10));
    tenants::permit_holder holder(tenants::quota_rules{}, "node", 1);
    holder.use(limits);
    for (const routing::tenant& tenant : limits) {
        holder.begin_wait(tenant.name, tenants::permit_need::running_program);
        holder.try_acquire(tenant.name, beginning);
    }
    exchange(holder, lender, beginning);
    std::size_t taken = 0;
    const double each = nanoseconds_each(lookups, [&](std::size_t number) {
        const std::string& name = limits[number % limits.size()].name;
        if (holder.try_acquire(name, beginning)) {
            ++taken;
            holder.release(name, beginning, beginning);
        }
    });
    std::printf("permit acquired and released: %.0f ns (%zu of %zu taken)\n", each, taken, lookups);
}

/// Measures the lender's processing of one report from each node.
void measure_lender(std::size_t tenant_count, std::size_t node_count, std::size_t active) {
    const auto limits = make_tenants(tenant_count, 0);
    tenants::permit_lender lender{tenants::quota_rules{}};
    lender.use(limits);
    lender.start(beginning - std::chrono::seconds(10));
    std::uint64_t sequence = 0;
    const auto round = [&] {
        ++sequence;
        return nanoseconds_each(node_count, [&](std::size_t node) {
            tenants::permit_report report;
            report.node = "node-" + std::to_string(node);
            report.process_id = 1;
            report.sequence = sequence;
            report.is_full = sequence == 1;
            for (std::size_t number = 0; number < active; ++number) {
                const std::string& name = limits[(node * active + number) % limits.size()].name;
                report.uses.push_back({name, sequence, sequence, 1, 0, 0, 2});
            }
            lender.answer(report, beginning);
        });
    };
    round();
    const double each = round();
    std::printf(
        "lender, %zu tenants, %zu nodes, %zu tenants a report: %.1f us a report, "
        "%.2f ms a round, %zu entries\n",
        tenant_count, node_count, active, each / 1e3, each * static_cast<double>(node_count) / 1e6,
        lender.share_count());
}

}  // namespace

int main() {
    measure_keys();
    measure_permits();
    measure_lender(84, 69, 11);
    measure_lender(84, 69, 84);
    measure_lender(2'800, 710, 25);
    measure_lender(2'800, 710, 200);
    return 0;
}
