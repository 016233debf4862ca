#include <geraniumpulley/core/rollouts/placement.hpp>

#include <geraniumpulley/core/back_off.hpp>

#include <algorithm>

namespace geraniumpulley::core {
namespace {

constexpr Duration firstRest = std::chrono::milliseconds(250);
constexpr Duration longestRest = std::chrono::seconds(16);

// Requests that others have at the engine count against the room for rollouts, so that
// application calls find it free. A report lags, so it never lowers what this node knows.
std::uint32_t roomOf(const Service &service, const EngineReport *report, std::uint32_t own)
{
    std::uint32_t others = 0;
    if (report != nullptr && report->inFlight > own)
        others = report->inFlight - own;
    const std::uint32_t reserve = service.kind == ServiceKind::Model ? service.callReserve : 0;
    const std::uint32_t used = own + others + reserve;
    return used < service.maxInFlight ? service.maxInFlight - used : 0;
}

bool isFresh(const EngineReport *report, WeightVersion leastVersion)
{
    return report == nullptr || (!report->swapping && report->version >= leastVersion);
}

} // namespace

void noteFailure(EngineLoad &load, Time now)
{
    load.retryAt = now + backOff(firstRest, longestRest, load.failures);
    ++load.failures;
}

const Target *chooseTarget(const PlacementQuery &query, const Configuration &configuration,
                           const View &view, const EngineReports *reports, const EngineLoads &loads,
                           Time now)
{
    const Service *service = findService(configuration, query.service);
    if (service == nullptr)
        return nullptr;
    const Target *best = nullptr;
    const Target *preferred = nullptr;
    std::uint32_t bestRoom = 0;
    std::uint32_t preferredRoom = 0;
    for (const Target &target : view.targets) {
        if (target.service != query.service || target.leaving)
            continue;
        const auto position = loads.find(target.id);
        const EngineLoad load = position == loads.end() ? EngineLoad{} : position->second;
        const EngineReport *report = reports == nullptr ? nullptr : findReport(*reports, target.id);
        if (load.retryAt > now || !isFresh(report, query.leastVersion))
            continue;
        const std::uint32_t room = roomOf(*service, report, load.inFlight);
        if (room > bestRoom) {
            best = &target;
            bestRoom = room;
        }
        if (target.id == query.preferred) {
            preferred = &target;
            preferredRoom = room;
        }
    }
    if (preferredRoom > 0 && preferredRoom + prefixLocalitySlack >= bestRoom)
        return preferred;
    return best;
}

double shareOf(std::uint32_t inFlight, std::uint32_t weight, std::uint64_t unfinished,
               Duration timeLeft)
{
    // A step past its due time counts as due in a second.
    const std::chrono::duration<double> seconds =
            std::max<Duration>(timeLeft, std::chrono::seconds(1));
    const double rate =
            static_cast<double>(std::max<std::uint64_t>(unfinished, 1)) / seconds.count();
    return (1.0 + inFlight) / (std::max<std::uint32_t>(weight, 1) * rate);
}

} // namespace geraniumpulley::core
