#include "batch_context.hpp"

#include <geraniumpulley/core/leader/target_orders.hpp>

namespace geraniumpulley::core {
namespace {

DemandReport measureDemand(const BatchContext &context)
{
    DemandReport report{context.state.self.id, {}};
    for (const auto &[id, batch] : context.state.ownedBatches) {
        const Route *route = routeOf(context, *batch.spec);
        const ServiceName *service = route == nullptr ? nullptr : pickService(*route, 0);
        if (service == nullptr)
            continue;
        ServiceDemand demand;
        for (const ItemState &item : batch.items) {
            demand.running += item.phase == ItemPhase::Running ? 1 : 0;
            demand.waiting += item.phase == ItemPhase::Waiting ? 1 : 0;
        }
        ServiceDemand &sum = report.services[*service];
        sum.running += demand.running;
        sum.waiting += demand.waiting;
    }
    return report;
}

} // namespace

void reportDemand(BatchContext &context)
{
    BatchState &state = context.state;
    if (!state.directory || !state.directory->routing || !scalesTargets(*state.directory->routing))
        return;
    if (state.ownedBatches.empty() && !state.nextDemandReportAt)
        return;
    if (state.nextDemandReportAt && context.now < *state.nextDemandReportAt)
        return;
    context.actions.emplace_back(measureDemand(context));
    // The last report says that there is no demand any more.
    if (state.ownedBatches.empty())
        state.nextDemandReportAt.reset();
    else
        state.nextDemandReportAt = context.now + state.settings.demandPeriod;
}

} // namespace geraniumpulley::core
