#include <geraniumpulley/codec/leader_messages.hpp>

#include "message_pack.hpp"

#include <cstdint>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace geraniumpulley::codec {
namespace {

using UsageCountsWire = std::tuple<std::map<std::string, std::uint64_t>>;
using ServiceDemandWire = std::tuple<std::string, std::uint32_t, std::uint32_t>;
using DemandReportWire = std::tuple<std::string, std::vector<ServiceDemandWire>>;

} // namespace

std::string encodeUsageCounts(const core::UsageCounts &counts)
{
    UsageCountsWire wire;
    for (const auto &[account, count] : counts)
        std::get<0>(wire).emplace(account.value, count);
    return detail::pack(wire);
}

core::Result<core::UsageCounts> decodeUsageCounts(const std::string &bytes)
{
    const auto wire = detail::unpack<UsageCountsWire>(bytes);
    if (!wire)
        return wire.error();
    core::UsageCounts counts;
    for (const auto &[account, count] : std::get<0>(wire.value()))
        counts.emplace(core::AccountName{account}, count);
    return counts;
}

std::string encodeDemandReport(const core::DemandReport &report)
{
    DemandReportWire wire{report.node.value, {}};
    for (const auto &[service, demand] : report.services)
        std::get<1>(wire).emplace_back(service.value, demand.running, demand.waiting);
    return detail::pack(wire);
}

core::Result<core::DemandReport> decodeDemandReport(const std::string &bytes)
{
    const auto wire = detail::unpack<DemandReportWire>(bytes);
    if (!wire)
        return wire.error();
    core::DemandReport report{{std::get<0>(wire.value())}, {}};
    for (const auto &[service, running, waiting] : std::get<1>(wire.value()))
        report.services.emplace(core::ServiceName{service}, core::ServiceDemand{running, waiting});
    return report;
}

} // namespace geraniumpulley::codec
