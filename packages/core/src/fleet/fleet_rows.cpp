#include "fleet_rows.hpp"

#include <algorithm>
#include <set>

namespace geraniumpulley::core {
namespace {

void applyTarget(FleetState &state, const FleetTarget &target)
{
    KnownTarget &known = state.targets[target.target.id];
    known.missingSince.reset();
    if (known.target == target)
        return;
    known.target = target;
    state.changed = true;
}

void missTarget(FleetState &state, const TargetId &id, Time now)
{
    const auto position = state.targets.find(id);
    if (position != state.targets.end() && !position->second.missingSince)
        position->second.missingSince = now;
}

struct RowApplier
{
    FleetState &state;
    const FleetRow &row;
    FleetTable table;
    Time now;

    // A row that is gone, or that another writer has left unreadable.
    void operator()(const std::monostate &)
    {
        if (this->table == FleetTable::Targets)
            missTarget(this->state, {this->row.key}, this->now);
        if (this->table == FleetTable::Batches && this->state.batches.erase({this->row.key}) > 0)
            this->state.changed = true;
    }

    void operator()(const std::shared_ptr<const RoutingTable> &routing)
    {
        if (this->row.version <= this->state.routingRow)
            return;
        this->state.routingRow = this->row.version;
        this->state.routing = routing;
        this->state.changed = true;
    }

    void operator()(const DesiredModelWeights &desired)
    {
        WeightVersion &known = this->state.desiredWeights[desired.model];
        if (desired.version <= known)
            return;
        known = desired.version;
        this->state.changed = true;
    }

    void operator()(const FleetTarget &target) { applyTarget(this->state, target); }

    void operator()(const NodeBeat &beat)
    {
        noteBeat(this->state.presence, beat, this->now);
        this->state.presenceChanged = true;
    }

    void operator()(const BatchHead &head)
    {
        const auto [position, isNew] = this->state.batches.emplace(head.id, head);
        if (!isNew && position->second.version >= head.version)
            return;
        position->second = head;
        this->state.changed = true;
    }

    void operator()(const OrdersLease &lease)
    {
        if (lease.version <= this->state.lease.version)
            return;
        // A write of this node whose answer is still to come, or was lost.
        const bool isOwn = lease.holder == this->state.settings.self.id
                           && lease.incarnation == this->state.settings.self.incarnation;
        if (isOwn) {
            const bool followsOther = this->state.lease.version != RowVersion{}
                                      && this->state.lease.holder != lease.holder;
            this->state.ordersAllowedFrom =
                    followsOther ? this->now + this->state.settings.leaseTime : this->now;
        }
        this->state.lease = lease;
    }
};

// What a whole read of the table does not hold has been removed.
void missAbsent(FleetState &state, const TableRead &read, Time now)
{
    std::set<std::string> present;
    for (const FleetRow &row : read.rows)
        present.insert(row.key);
    if (read.table == FleetTable::Targets) {
        for (const auto &[id, known] : state.targets) {
            if (present.count(id.value) == 0)
                missTarget(state, id, now);
        }
        state.changed = state.changed || !state.targetsKnown;
        state.targetsKnown = true;
    }
    if (read.table == FleetTable::Batches) {
        const std::size_t removed = std::erase_if(state.batches, [&](const auto &entry) {
            return present.count(entry.first.value) == 0 && entry.second.version <= read.upTo;
        });
        state.changed = state.changed || removed > 0 || !state.batchesKnown;
        state.batchesKnown = true;
    }
}

} // namespace

void applyRows(FleetState &state, const TableRead &read, Time now)
{
    if (read.whole)
        missAbsent(state, read, now);
    for (const FleetRow &row : read.rows)
        std::visit(RowApplier{state, row, read.table, now}, row.record);
}

void dropLapsed(FleetState &state, Time now)
{
    const std::size_t removed = std::erase_if(state.targets, [&](const auto &entry) {
        const std::optional<Time> &missingSince = entry.second.missingSince;
        if (!missingSince)
            return false;
        const bool mayHaveLapsed =
                state.targetsFailedAt
                && *missingSince - *state.targetsFailedAt < state.settings.lapseLimit;
        return !mayHaveLapsed || now - *missingSince >= state.settings.lapseLimit;
    });
    state.changed = state.changed || removed > 0;
}

} // namespace geraniumpulley::core
