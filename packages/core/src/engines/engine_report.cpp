#include <geraniumpulley/core/engines/engine_report.hpp>

#include <algorithm>

namespace geraniumpulley::core {

Time measuredAt(const EngineReport &report)
{
    return report.receivedAt - report.age;
}

bool isNewer(const EngineReport &report, const EngineReport &known)
{
    if (report.incarnation == known.incarnation)
        return report.sequence > known.sequence;
    return measuredAt(report) > measuredAt(known);
}

const EngineReport *findReport(const EngineReports &reports, const TargetId &target)
{
    const auto found = std::find_if(reports.reports.begin(), reports.reports.end(),
                                    [&](const auto &report) { return report.target == target; });
    return found == reports.reports.end() ? nullptr : &*found;
}

} // namespace geraniumpulley::core
