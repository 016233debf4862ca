#include <geraniumpulley/core/rollouts/placement.hpp>

#include <geraniumpulley/core/backoff.hpp>

#include <algorithm>

namespace geraniumpulley::core {
namespace {

constexpr Duration minBackoff = std::chrono::milliseconds(250);
constexpr Duration maxBackoff = std::chrono::seconds(16);

// Returns how many more rollout requests the target accepts. Requests of other nodes count against
// this number, and a model engine's call reserve stays free for application calls. A report lags,
// so it never lowers this node's own count.
std::uint32_t availableSlots(const Service &service, const EngineReport *report,
                             std::uint32_t ownInFlight)
{
    std::uint32_t otherInFlight = 0;
    if (report != nullptr && report->inFlight > ownInFlight)
        otherInFlight = report->inFlight - ownInFlight;
    const std::uint32_t reserve = service.kind == ServiceKind::Model ? service.callReserve : 0;
    const std::uint32_t used = ownInFlight + otherInFlight + reserve;
    return used < service.maxInFlight ? service.maxInFlight - used : 0;
}

// A target without a report is assumed to serve the required version.
bool canServeVersion(const EngineReport *report, WeightVersion minVersion)
{
    return report == nullptr || (!report->swapping && report->version >= minVersion);
}

} // namespace

void recordFailure(EngineLoad &load, Time now)
{
    load.retryAt = now + backoffDelay(minBackoff, maxBackoff, load.consecutiveFailures);
    ++load.consecutiveFailures;
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
    std::uint32_t bestSlots = 0;
    std::uint32_t preferredSlots = 0;
    for (const Target &target : view.targets) {
        if (target.service != query.service || target.leaving)
            continue;
        const auto position = loads.find(target.id);
        const EngineLoad load = position == loads.end() ? EngineLoad{} : position->second;
        const EngineReport *report = reports == nullptr ? nullptr : findReport(*reports, target.id);
        if (load.retryAt > now || !canServeVersion(report, query.minVersion))
            continue;
        const std::uint32_t slots = availableSlots(*service, report, load.inFlight);
        if (slots > bestSlots) {
            best = &target;
            bestSlots = slots;
        }
        if (target.id == query.preferred) {
            preferred = &target;
            preferredSlots = slots;
        }
    }
    if (preferredSlots > 0 && preferredSlots + prefixAffinityMargin >= bestSlots)
        return preferred;
    return best;
}

double fairShareRatio(std::uint32_t inFlight, std::uint32_t weight, std::uint64_t unfinished,
                      Duration timeLeft)
{
    // An overdue step counts as due in one second, which keeps the rate finite.
    const std::chrono::duration<double> seconds =
            std::max<Duration>(timeLeft, std::chrono::seconds(1));
    const double rate =
            static_cast<double>(std::max<std::uint64_t>(unfinished, 1)) / seconds.count();
    return (1.0 + inFlight) / (std::max<std::uint32_t>(weight, 1) * rate);
}

} // namespace geraniumpulley::core
