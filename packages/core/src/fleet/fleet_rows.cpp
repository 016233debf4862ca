#include "fleet_rows.hpp"

#include <algorithm>
#include <set>

namespace geraniumpulley::core {
namespace {

void noteTargetsChanged(FleetState &state)
{
    state.contentChanged = true;
    state.targetsChanged = true;
}

void noteCrashesChanged(FleetState &state)
{
    state.contentChanged = true;
    state.crashesChanged = true;
}

void applyTarget(FleetState &state, const std::shared_ptr<const FleetTarget> &target)
{
    KnownTarget &known = state.targets[target->target.id];
    known.isMissing = false;
    if (known.target == target || (known.target && *known.target == *target))
        return;
    known.target = target;
    noteTargetsChanged(state);
}

void markTargetMissing(FleetState &state, const TargetId &id)
{
    const auto position = state.targets.find(id);
    if (position != state.targets.end())
        position->second.isMissing = true;
}

struct RowApplier
{
    FleetState &state;
    const FleetRow &row;
    FleetTable table;
    Time now;

    // The row was removed, or another writer has left a value that cannot be decoded.
    void operator()(const std::monostate &)
    {
        if (this->table == FleetTable::Targets)
            markTargetMissing(this->state, {this->row.key});
        if (this->table != FleetTable::Batches)
            return;
        if (this->state.batches.erase({this->row.key}) > 0)
            this->state.contentChanged = true;
        if (this->state.crashRecords.erase(this->row.key) > 0)
            noteCrashesChanged(this->state);
    }

    void operator()(const std::shared_ptr<const RoutingTable> &routing)
    {
        if (this->row.version <= this->state.routingRowVersion)
            return;
        this->state.routingRowVersion = this->row.version;
        this->state.routing = routing;
        this->state.contentChanged = true;
    }

    void operator()(const DesiredModelWeights &desired)
    {
        WeightVersion &known = this->state.desiredWeights[desired.model];
        if (desired.version <= known)
            return;
        known = desired.version;
        this->state.contentChanged = true;
    }

    void operator()(const std::shared_ptr<const FleetTarget> &target)
    {
        applyTarget(this->state, target);
    }

    void operator()(const NodeHeartbeat &heartbeat)
    {
        recordHeartbeat(this->state.presence, heartbeat, this->now);
        this->state.presenceChanged = true;
    }

    void operator()(const BatchHead &head)
    {
        const auto [position, isNew] = this->state.batches.emplace(head.id, head);
        if (!isNew && position->second.version >= head.version)
            return;
        position->second = head;
        this->state.contentChanged = true;
    }

    void operator()(const CrashRecord &record)
    {
        const auto [position, isNew] =
                this->state.crashRecords.insert_or_assign(this->row.key, record);
        if (isNew)
            noteCrashesChanged(this->state);
    }

    void operator()(const LeaseInUse &inUse) { recordLeaseInUse(this->state.leadership, inUse); }

    void operator()(const WeightOrderLease &lease) { noteLease(this->state, lease, this->now); }
};

// Handles rows that are known but absent from a full read: they have been removed.
void handleAbsentRows(FleetState &state, const TableReadCompleted &read)
{
    std::set<std::string> presentKeys;
    for (const FleetRow &row : read.rows)
        presentKeys.insert(row.key);
    if (read.table == FleetTable::Targets) {
        for (const auto &[id, known] : state.targets) {
            if (presentKeys.count(id.value) == 0)
                markTargetMissing(state, id);
        }
        if (!state.targetsKnown)
            noteTargetsChanged(state);
        state.targetsKnown = true;
    }
    if (read.table == FleetTable::Batches) {
        const std::size_t removed = std::erase_if(state.batches, [&](const auto &entry) {
            return presentKeys.count(entry.first.value) == 0 && entry.second.version <= read.upTo;
        });
        state.contentChanged = state.contentChanged || removed > 0 || !state.batchesKnown;
        state.batchesKnown = true;
        if (std::erase_if(state.crashRecords,
                          [&](const auto &entry) { return presentKeys.count(entry.first) == 0; })
            > 0)
            noteCrashesChanged(state);
    }
}

} // namespace

void applyRows(FleetState &state, const TableReadCompleted &read, Time now)
{
    if (read.isFull)
        handleAbsentRows(state, read);
    for (const FleetRow &row : read.rows)
        std::visit(RowApplier{state, row, read.table, now}, row.record);
}

// Orders in progress belong to the former holder's turn.
void noteLease(FleetState &state, const WeightOrderLease &lease, Time now)
{
    if (recordLease(state.leadership, lease, now))
        state.weightOrders.engines.clear();
}

void removeLapsedTargets(FleetState &state, Time now)
{
    // A row that lapses in an outage of the store comes back, also that of a target that leaves.
    if (!state.targetsReadFailedAt
        || now - *state.targetsReadFailedAt > state.settings.leavingTargetRetention)
        std::erase_if(state.leavingTargets,
                      [&](const auto &entry) { return state.targets.count(entry.first) == 0; });
    // The retention counts from the end of the outage, whenever the row is missed. Where other
    // nodes read the targets meanwhile, this node does too, through them, and there was no outage.
    if (state.lapseOutageEndedAt
        && now < *state.lapseOutageEndedAt + state.settings.lapsedTargetRetention)
        return;
    const std::size_t removed =
            std::erase_if(state.targets, [](const auto &entry) { return entry.second.isMissing; });
    if (removed > 0)
        noteTargetsChanged(state);
}

} // namespace geraniumpulley::core
