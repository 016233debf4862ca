#include "duties.hpp"
#include "peer_paths.hpp"
#include "range_reader.hpp"
#include "table_names.hpp"
#include "target_row_cache.hpp"

#include <geraniumpulley/codec/row_messages.hpp>
#include <geraniumpulley/core/http_status.hpp>
#include <geraniumpulley/platform/directory_rows.hpp>
#include <geraniumpulley/platform/target_messages.hpp>
#include <geraniumpulley/runtime/clock.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

constexpr core::Duration heartbeatTimeout = std::chrono::milliseconds(1000);
// Added to the requested wait of a long poll.
constexpr core::Duration followMargin = std::chrono::milliseconds(900);
constexpr core::Duration peerTimeout = std::chrono::milliseconds(500);
constexpr core::Duration leaseWriteTimeout = std::chrono::milliseconds(1200);
constexpr core::Duration engineTimeout = std::chrono::milliseconds(800);
// Well below the time for which a check proves the lease, so that another one can follow.
constexpr core::Duration leaseCheckTimeout = std::chrono::milliseconds(800);

struct TablePartition
{
    const char *table;
    const char *partition;
};

TablePartition locate(core::FleetTable table)
{
    switch (table) {
    case core::FleetTable::Routing:
        return {platform::operatorTableName(), ""};
    case core::FleetTable::Targets:
        return {platform::targetTableName(), ""};
    case core::FleetTable::Nodes:
        return {nodesTable, ""};
    case core::FleetTable::Batches:
        break;
    }
    return {batchesTable, ""};
}

template<typename T>
core::Result<core::FleetRecord> toRecord(core::Result<T> &&decoded)
{
    if (!decoded)
        return decoded.error();
    return core::FleetRecord(std::move(decoded.value()));
}

core::Result<core::FleetRecord> decodeBatchesRow(const platform::Row &row)
{
    if (row.name.key == weightOrderLeaseKey)
        return toRecord(codec::decodeWeightOrderLease(row.value, row.version));
    if (row.name.key == leaseInUseKey)
        return toRecord(codec::decodeLeaseInUse(row.value));
    if (codec::isCrashRecordKey(row.name.key))
        return toRecord(codec::decodeCrashRecord(row.name.key, row.value));
    if (!row.name.key.starts_with(headPrefix))
        return core::FleetRecord(std::monostate{});
    const std::string id = row.name.key.substr(std::string_view(headPrefix).size());
    return toRecord(codec::decodeBatchHead({id}, row.value, row.version));
}

core::Result<core::FleetRecord> decodeRecord(core::FleetTable table, const platform::Row &row,
                                             TargetRowCache &targetRows)
{
    if (row.removed)
        return core::FleetRecord(std::monostate{});
    switch (table) {
    case core::FleetTable::Routing:
        return platform::decodeOperatorRow(row.name.key, row.value);
    case core::FleetTable::Targets:
        return toRecord(targetRows.decode(row));
    case core::FleetTable::Nodes:
        return toRecord(codec::decodeHeartbeat(row.value));
    case core::FleetTable::Batches:
        break;
    }
    return decodeBatchesRow(row);
}

// Returns the key by which the core identifies a row.
std::string coreKey(core::FleetTable table, const platform::Row &row)
{
    const std::string &key = row.name.key;
    if (table == core::FleetTable::Batches && key.starts_with(headPrefix))
        return key.substr(std::string_view(headPrefix).size());
    return key;
}

// What is logged of the lease when it changes.
struct LoggedLease
{
    core::NodeId holder;
    core::RowVersion version{};
    bool canOrder = false;

    bool operator==(const LoggedLease &) const = default;
};

struct FleetDuty
{
    Parts &parts;
    core::FleetState state;
    TickTimer wakeup;
    SuspensionDetector suspensions{};
    core::ConfigurationVersion appliedRouting{};
    LoggedLease loggedLease{};
    std::unique_ptr<TargetRowCache> targetRows = std::make_unique<TargetRowCache>();

    void handle(const core::FleetEvent &event)
    {
        this->detectSuspension();
        decideAndArm<core::FleetTick>(*this, event);
        this->logLease();
    }

    void logLease()
    {
        const core::Time now = runtime::now();
        const core::LeadershipState &leadership = this->state.leadership;
        const LoggedLease known{leadership.lease.holder, leadership.lease.version,
                                core::weightOrderProof(this->state, now).has_value()};
        if (std::exchange(this->loggedLease, known) == known)
            return;
        this->parts.logger.write("weight_order_lease_known", field("holder", known.holder.value),
                                 field("fence", static_cast<std::uint64_t>(known.version)),
                                 field("can_order", known.canOrder),
                                 field("confirmed_ms_ago", this->confirmationAge(now)));
    }

    // Returns the age of the check that last confirmed the lease, in ms; -1 if there is none.
    std::int64_t confirmationAge(core::Time now) const
    {
        const auto &confirmedAt = this->state.leadership.confirmedAt;
        return confirmedAt ? (now - *confirmedAt) / std::chrono::milliseconds(1) : -1;
    }

    std::optional<core::Time> due() const { return core::dueAt(this->state, runtime::now()); }

    void detectSuspension()
    {
        const auto suspendedFor = this->suspensions.poll();
        if (!suspendedFor)
            return;
        this->parts.logger.write("vm_suspension_detected",
                                 field("for_ms", *suspendedFor / std::chrono::milliseconds(1)));
        decide(*this, core::FleetEvent{core::MachineSuspended{}});
    }

    void push(core::FleetEvent event) { this->parts.fleet.deliver(std::move(event)); }

    void perform(core::ReadTable &&read)
    {
        const TablePartition location = locate(read.table);
        readRange(*this->parts.storeLink, {location.table, location.partition, {}, {}},
                  [this, table = read.table](std::optional<platform::Rows> &&rows) {
                      if (!rows)
                          return this->push(core::TableReadFailed{table, false});
                      this->storeCopies(table, true, *rows);
                      this->push(this->toTableRead(table, true, std::move(*rows)));
                  });
    }

    void perform(core::FollowTable &&follow)
    {
        const TablePartition location = locate(follow.table);
        if (follow.after == core::RowVersion{})
            return this->findLatestVersion(follow.table, location);
        this->parts.storeLink->send(
                {platform::encodeLongPoll(location.table, follow.after, follow.pollTimeout),
                 follow.pollTimeout + followMargin,
                 [this, table = follow.table](StoreReply &&reply) {
                     this->onFollowReply(table, reply);
                 }});
    }

    // Without a version to follow from, long polls start at the latest one, which any read returns.
    void findLatestVersion(core::FleetTable table, const TablePartition &location)
    {
        readRange(*this->parts.storeLink, {location.table, location.partition, {}, {}, 1},
                  [this, table](std::optional<platform::Rows> &&rows) {
                      if (!rows)
                          return this->push(core::TableReadFailed{table, false});
                      rows->rows.clear();
                      this->push(this->toTableRead(table, false, std::move(*rows)));
                  });
    }

    void onFollowReply(core::FleetTable table, const StoreReply &reply)
    {
        const bool isAnswered = reply.outcome == codec::RelayOutcome::Answered;
        if (!isAnswered || reply.status != core::status::ok)
            return this->push(core::TableReadFailed{
                    table, isAnswered && platform::isHistoryExpired(reply.status)});
        auto rows = platform::decodeRows(reply.body);
        if (!rows)
            return this->push(core::TableReadFailed{table, false});
        this->storeCopies(table, false, rows.value());
        this->push(this->toTableRead(table, false, std::move(rows.value())));
    }

    void perform(core::RequestPeerTables &&)
    {
        std::string peer = this->parts.storeLink->nextPeer();
        if (peer.empty())
            return;
        this->parts.logger.write("peer_tables_requested", field("peer", peer));
        this->parts.peerLink->send({std::move(peer),
                                    tablesPath,
                                    {},
                                    runtime::now() + peerTimeout,
                                    [this](net::PeerReply &&reply) {
                                        if (reply.failure == net::SendFailure::None)
                                            this->onPeerTables(reply.body);
                                    }});
    }

    void onPeerTables(const std::string &body)
    {
        const auto copies = codec::decodeRowCopies(body);
        if (!copies)
            return this->parts.logger.write("peer_tables_malformed",
                                            field("error", copies.error().message()));
        core::PeerTablesReceived received;
        for (const core::FleetTable table :
             {core::FleetTable::Routing, core::FleetTable::Targets}) {
            platform::Rows rows;
            for (const codec::RowCopy &copy : copies.value()) {
                if (copy.table == table)
                    rows.rows.push_back({{{}, {}, copy.key}, copy.value, copy.version, false});
            }
            received.tables.push_back(this->toTableRead(table, false, std::move(rows)));
        }
        this->push(std::move(received));
    }

    void storeCopies(core::FleetTable table, bool isFull, const platform::Rows &rows)
    {
        if (table != core::FleetTable::Routing && table != core::FleetTable::Targets)
            return;
        if (isFull)
            this->parts.tables.set(table, rows.rows);
        else
            this->parts.tables.apply(table, rows.rows);
        if (isFull && table == core::FleetTable::Targets)
            this->targetRows->retain(rows.rows);
    }

    // Runs on a network thread.
    core::TableReadCompleted toTableRead(core::FleetTable table, bool isFull, platform::Rows &&rows)
    {
        core::TableReadCompleted read{table, isFull, {}, rows.storeVersion, rows.clock};
        for (const platform::Row &row : rows.rows) {
            auto record = decodeRecord(table, row, *this->targetRows);
            if (!record)
                this->logUnreadable(table, row, record.error());
            read.rows.push_back(
                    {coreKey(table, row), row.version,
                     record ? std::move(record.value()) : core::FleetRecord(std::monostate{})});
        }
        return read;
    }

    // Another writer may leave any number of odd rows among those of the targets, so only those of
    // the operators are logged.
    void logUnreadable(core::FleetTable table, const platform::Row &row,
                       const std::error_code &error)
    {
        this->parts.metrics.count("rows_unreadable");
        if (table != core::FleetTable::Routing)
            return;
        this->parts.logger.write("row_unreadable", field("table", row.name.table),
                                 field("key", row.name.key),
                                 field("version", static_cast<std::uint64_t>(row.version)),
                                 field("error", error.message()));
    }

    void perform(core::WriteHeartbeat &&write)
    {
        platform::Transaction transaction;
        transaction.writes.push_back({{nodesTable, write.heartbeat.node.id.value, heartbeatKey},
                                      codec::encodeHeartbeat(write.heartbeat)});
        this->parts.storeLink->send(
                {platform::encodeTransaction(transaction), heartbeatTimeout,
                 [this, sentAt = runtime::now()](StoreReply &&reply) {
                     const bool succeeded = reply.outcome == codec::RelayOutcome::Answered
                                            && reply.status == core::status::ok;
                     this->push(core::HeartbeatWriteCompleted{sentAt, succeeded});
                 }});
    }

    void perform(core::WriteWeightOrderLease &&write)
    {
        this->parts.logger.write("weight_order_lease_write_sent",
                                 field("holder", write.lease.holder.value),
                                 field("expected", static_cast<std::uint64_t>(write.expected)));
        platform::Transaction transaction;
        const platform::RowName row{batchesTable, "", weightOrderLeaseKey};
        transaction.conditions.push_back({row, write.expected});
        transaction.writes.push_back({row, codec::encodeWeightOrderLease(write.lease)});
        this->parts.storeLink->send(
                {platform::encodeTransaction(transaction), leaseWriteTimeout,
                 [this](StoreReply &&reply) { this->onLeaseWriteReply(reply); }});
    }

    void perform(core::WriteLeaseInUse &&write)
    {
        platform::Transaction transaction;
        transaction.conditions.push_back(
                {{batchesTable, "", weightOrderLeaseKey}, write.row.lease});
        transaction.writes.push_back(
                {{batchesTable, "", leaseInUseKey}, codec::encodeLeaseInUse(write.row)});
        this->parts.storeLink->send({platform::encodeTransaction(transaction), leaseWriteTimeout,
                                     [](StoreReply &&) {}});
    }

    void perform(core::CheckLease &&)
    {
        const std::string endKey = std::string(weightOrderLeaseKey) + ' ';
        this->parts.storeLink->send(
                {platform::encodeRead({batchesTable, "", weightOrderLeaseKey, endKey, 1}),
                 leaseCheckTimeout, [this, sentAt = runtime::now()](StoreReply &&reply) {
                     const core::LeaseChecked checked = toLeaseCheck(sentAt, reply);
                     if (!checked.succeeded)
                         this->parts.metrics.count("lease_checks_failed");
                     this->push(checked);
                 }});
    }

    static core::LeaseChecked toLeaseCheck(core::Time sentAt, const StoreReply &reply)
    {
        core::LeaseChecked checked{sentAt, false, {}};
        if (reply.outcome != codec::RelayOutcome::Answered || reply.status != core::status::ok)
            return checked;
        const auto rows = platform::decodeRows(reply.body);
        if (!rows)
            return checked;
        checked.succeeded = true;
        for (const platform::Row &row : rows.value().rows) {
            const auto lease = codec::decodeWeightOrderLease(row.value, row.version);
            checked.succeeded = checked.succeeded && lease;
            if (lease)
                checked.lease = lease.value();
        }
        return checked;
    }

    void onLeaseWriteReply(const StoreReply &reply)
    {
        core::WeightOrderLeaseWriteCompleted completion;
        if (reply.outcome == codec::RelayOutcome::Answered) {
            const auto result = platform::decodeTransactionReply(reply.status, reply.body);
            completion = {result.outcome, result.version};
        } else if (reply.outcome == codec::RelayOutcome::NotSent) {
            completion.outcome = core::StoreOutcome::NotCommitted;
        }
        this->parts.logger.write("weight_order_lease_write_completed",
                                 field("outcome", static_cast<int>(completion.outcome)),
                                 field("fence", static_cast<std::uint64_t>(completion.version)));
        this->push(completion);
    }

    void perform(core::RequestEngineState &&query)
    {
        net::HttpRequest request = platform::encodeEngineStateRequest(query);
        request.deadline = runtime::now() + engineTimeout;
        request.done = [this, target = query.target.id](net::HttpResult &&result) {
            noteLeaving(this->parts, target, result.status, result.headers);
            this->push(core::EngineStateReceived{target, platform::decodeEngineState(result)});
        };
        this->parts.engineClient->send(std::move(request));
    }

    void perform(core::SendWeightOrder &&order)
    {
        const core::Time now = runtime::now();
        this->parts.logger.write("weight_order_sent", field("target", order.target.id.value),
                                 field("fence", core::number(order.proof.fence)),
                                 field("confirmed_ms_ago", this->confirmationAge(now)),
                                 field("valid_for_ms", (order.proof.validUntil - now)
                                                               / std::chrono::milliseconds(1)));
        net::HttpRequest request = platform::encodeWeightOrder(order, this->state.settings.self.id);
        request.deadline = now + engineTimeout;
        limitToProof(request, order.proof);
        request.done = [this, order](net::HttpResult &&result) {
            noteLeaving(this->parts, order.target.id, result.status, result.headers);
            const core::WeightOrderReply reply = platform::decodeWeightOrderReply(result);
            this->parts.logger.write("weights_ordered", field("target", order.target.id.value),
                                     field("model", order.model),
                                     field("version", core::number(order.version)),
                                     field("fence", core::number(order.proof.fence)),
                                     field("reply", static_cast<int>(reply)));
            this->push(core::WeightOrderReplyReceived{order.target.id, reply});
        };
        this->parts.engineClient->send(std::move(request));
    }

    void perform(core::PublishDirectory &&publish)
    {
        const core::DirectoryPointer &directory = publish.directory;
        this->parts.directory.set(directory);
        // If a ring is full, the directory is not sent to its duty; the next one supersedes it.
        static_cast<void>(
                this->parts.batches.inbox().tryPush(core::BatchDirectoryChanged{directory}));
        if (this->parts.hasLeaderDuty)
            static_cast<void>(
                    this->parts.leader.inbox().tryPush(core::LeaderDirectoryChanged{directory}));
        this->updatePeers(*directory);
        if (!publish.contentChanged)
            return;
        static_cast<void>(
                this->parts.calls.inbox().tryPush(core::EntryDirectoryChanged{directory}));
        if (directory->routing && directory->routing->version != this->appliedRouting)
            this->applyRouting(*directory->routing);
    }

    void applyRouting(const core::RoutingTable &routing)
    {
        this->appliedRouting = routing.version;
        this->parts.logger.write("routing_in_force",
                                 field("version", core::number(routing.version)),
                                 field("routes", routing.routes.size()));
        const core::EntryLimits &limits = routing.limits;
        this->parts.callerServer->setLimits({limits.maxHeaderBytes, limits.maxBodyBytes,
                                             limits.headerTimeout, limits.idleTimeout});
    }

    void updatePeers(const core::Directory &directory)
    {
        std::vector<std::string> addresses;
        for (const core::Node &node : core::liveNodes(directory.presence, runtime::now())) {
            if (node.id != this->state.settings.self.id)
                addresses.push_back(node.address);
        }
        this->parts.storeLink->setPeers(std::move(addresses));
    }
};

} // namespace

void startFleetDuty(Parts &parts, const core::Node &self, const Settings &settings)
{
    core::FleetSettings fleetSettings;
    fleetSettings.self = self;
    fleetSettings.capacityMillicores = settings.capacityMillicores;
    fleetSettings.leaseDuration = settings.leaseDuration;
    auto duty = std::make_shared<FleetDuty>(FleetDuty{
            parts,
            core::makeFleetState(std::move(fleetSettings), runtime::now()),
            TickTimer(*parts.timer,
                      [&parts] {
                          static_cast<void>(parts.fleet.inbox().tryPush(core::FleetTick{}));
                      }),
            {}});
    parts.fleet.start("fleet", [duty](core::FleetEvent &&event) { duty->handle(event); });
    parts.fleet.inbox().push(core::FleetTick{});
}

} // namespace geraniumpulley::entry
