#include "duties.hpp"
#include "peer_paths.hpp"
#include "range_reader.hpp"
#include "table_names.hpp"

#include <geraniumpulley/codec/batch_rows.hpp>
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

constexpr core::Duration beatLimit = std::chrono::milliseconds(1000);
constexpr core::Duration followMargin = std::chrono::milliseconds(900); // Beyond the asked wait.
constexpr core::Duration peerLimit = std::chrono::milliseconds(500);
constexpr core::Duration leaseLimit = std::chrono::milliseconds(1200);
constexpr core::Duration engineLimit = std::chrono::milliseconds(800);
// A jump of the boot clock against the monotonic one that is more than a hiccup.
constexpr core::Duration suspensionLimit = std::chrono::milliseconds(200);

struct TableName
{
    const char *table;
    const char *part;
};

TableName nameOf(core::FleetTable table)
{
    switch (table) {
    case core::FleetTable::Routing:
        return {platform::operatorTable(), ""};
    case core::FleetTable::Targets:
        return {platform::targetTable(), ""};
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
    if (row.name.key == ordersLeaseKey)
        return toRecord(codec::decodeOrdersLease(row.value, row.version));
    if (!row.name.key.starts_with(headPrefix))
        return core::FleetRecord(std::monostate{});
    const std::string id = row.name.key.substr(std::string_view(headPrefix).size());
    return toRecord(codec::decodeHead({id}, row.value, row.version));
}

core::Result<core::FleetRecord> decodeRecord(core::FleetTable table, const platform::Row &row)
{
    if (row.removed)
        return core::FleetRecord(std::monostate{});
    switch (table) {
    case core::FleetTable::Routing:
        return platform::decodeOperatorRow(row.name.key, row.value);
    case core::FleetTable::Targets:
        return toRecord(platform::decodeTargetRow(row.name.key, row.value));
    case core::FleetTable::Nodes:
        return toRecord(codec::decodeBeat(row.value));
    case core::FleetTable::Batches:
        break;
    }
    return decodeBatchesRow(row);
}

// The key that the core knows a row by.
std::string coreKey(core::FleetTable table, const platform::Row &row)
{
    const std::string &key = row.name.key;
    if (table == core::FleetTable::Batches && key.starts_with(headPrefix))
        return key.substr(std::string_view(headPrefix).size());
    return key;
}

struct FleetDuty
{
    Parts &parts;
    core::FleetState state;
    Wakeup wakeup;
    core::Duration suspended{}; // As the clocks last told.
    core::ConfigurationVersion routingTold{};

    void handle(const core::FleetEvent &event)
    {
        this->lookForSuspension();
        decideAndArm<core::FleetTick>(*this, event);
    }

    std::optional<core::Time> due() const { return core::dueAt(this->state, runtime::now()); }

    void lookForSuspension()
    {
        const core::Duration total = runtime::timeSuspended();
        const core::Duration jump = total - std::exchange(this->suspended, total);
        if (jump <= suspensionLimit)
            return;
        this->parts.logger.write("machine_suspended", field("for_ms", jump.count() / 1000));
        decide(*this, core::FleetEvent{core::ClockSuspended{}});
    }

    void push(core::FleetEvent event) { this->parts.fleet.deliver(std::move(event)); }

    void perform(core::ReadTable &&read)
    {
        const TableName name = nameOf(read.table);
        readRange(*this->parts.store, {name.table, name.part, {}, {}},
                  [this, table = read.table](std::optional<platform::Rows> &&rows) {
                      if (!rows)
                          return this->push(core::TableReadFailed{table, false});
                      this->push(this->toTableRead(table, true, std::move(*rows)));
                  });
    }

    void perform(core::FollowTable &&follow)
    {
        const TableName name = nameOf(follow.table);
        if (follow.after == core::RowVersion{})
            return this->findNewest(follow.table, name);
        this->parts.store->send({platform::encodeFollow(name.table, follow.after, follow.wait),
                                 follow.wait + followMargin,
                                 [this, table = follow.table](StoreReply &&reply) {
                                     this->onFollowed(table, reply);
                                 }});
    }

    // A feed without a beginning starts at the newest version, which any read tells.
    void findNewest(core::FleetTable table, const TableName &name)
    {
        readRange(*this->parts.store, {name.table, name.part, {}, {}, 1},
                  [this, table](std::optional<platform::Rows> &&rows) {
                      if (!rows)
                          return this->push(core::TableReadFailed{table, false});
                      rows->rows.clear();
                      this->push(this->toTableRead(table, false, std::move(*rows)));
                  });
    }

    void onFollowed(core::FleetTable table, const StoreReply &reply)
    {
        const bool answered = reply.outcome == codec::RelayOutcome::Answered;
        if (!answered || reply.status != core::status::ok)
            return this->push(core::TableReadFailed{
                    table, answered && platform::isHistoryGone(reply.status)});
        auto rows = platform::decodeRows(reply.body);
        if (!rows)
            return this->push(core::TableReadFailed{table, false});
        this->push(this->toTableRead(table, false, std::move(rows.value())));
    }

    void perform(core::AskPeerTables &&)
    {
        std::string peer = this->parts.store->nextPeer();
        if (peer.empty())
            return;
        this->parts.logger.write("tables_asked", field("peer", peer));
        this->parts.peers->send({std::move(peer),
                                 tablesPath,
                                 {},
                                 runtime::now() + peerLimit,
                                 [this](net::PeerReply &&reply) {
                                     if (reply.failure == net::SendFailure::None)
                                         this->onCopies(reply.body);
                                 }});
    }

    void onCopies(const std::string &body)
    {
        const auto copies = codec::decodeCopies(body);
        if (!copies)
            return this->parts.logger.write("tables_unreadable",
                                            field("error", copies.error().message()));
        core::PeerTablesHeard heard;
        for (const core::FleetTable table :
             {core::FleetTable::Routing, core::FleetTable::Targets}) {
            platform::Rows rows;
            for (const codec::RowCopy &copy : copies.value()) {
                if (copy.table == table)
                    rows.rows.push_back({{{}, {}, copy.key}, copy.value, copy.version, false});
            }
            heard.tables.push_back(this->toTableRead(table, false, std::move(rows)));
        }
        this->push(std::move(heard));
    }

    void keepCopies(core::FleetTable table, const platform::Rows &rows)
    {
        if (table != core::FleetTable::Routing && table != core::FleetTable::Targets)
            return;
        std::vector<codec::RowCopy> copies;
        for (const platform::Row &row : rows.rows)
            copies.push_back({table, row.name.key, row.value, row.version});
        this->parts.tables.set(table, std::move(copies));
    }

    // Runs on a thread of a part.
    core::TableRead toTableRead(core::FleetTable table, bool whole, platform::Rows &&rows)
    {
        if (whole)
            this->keepCopies(table, rows);
        core::TableRead read{table, whole, {}, rows.upTo, rows.clock};
        for (const platform::Row &row : rows.rows) {
            auto record = decodeRecord(table, row);
            if (!record)
                this->parts.metrics.count("rows_unreadable");
            read.rows.push_back(
                    {coreKey(table, row), row.version,
                     record ? std::move(record.value()) : core::FleetRecord(std::monostate{})});
        }
        return read;
    }

    void perform(core::WriteBeat &&write)
    {
        platform::Transaction transaction;
        transaction.writes.push_back(
                {{nodesTable, write.beat.node.id.value, beatKey}, codec::encodeBeat(write.beat)});
        this->parts.store->send({platform::encodeTransaction(transaction), beatLimit,
                                 [this, sentAt = runtime::now()](StoreReply &&reply) {
                                     const bool done =
                                             reply.outcome == codec::RelayOutcome::Answered
                                             && reply.status == core::status::ok;
                                     this->push(core::BeatWritten{sentAt, done});
                                 }});
    }

    void perform(core::WriteOrdersLease &&write)
    {
        this->parts.logger.write("orders_lease_write", field("holder", write.lease.holder.value),
                                 field("expected", static_cast<std::uint64_t>(write.expected)));
        platform::Transaction transaction;
        const platform::RowName row{batchesTable, "", ordersLeaseKey};
        transaction.conditions.push_back({row, write.expected});
        transaction.writes.push_back({row, codec::encodeOrdersLease(write.lease)});
        this->parts.store->send({platform::encodeTransaction(transaction), leaseLimit,
                                 [this](StoreReply &&reply) { this->onLeaseWritten(reply); }});
    }

    void onLeaseWritten(const StoreReply &reply)
    {
        core::OrdersLeaseWritten written;
        if (reply.outcome == codec::RelayOutcome::Answered) {
            const auto result = platform::decodeTransactionReply(reply.status, reply.body);
            written = {result.outcome, result.version};
        } else if (reply.outcome == codec::RelayOutcome::NotSent) {
            written.outcome = core::StoreOutcome::NotDone;
        }
        this->parts.logger.write("orders_lease_written",
                                 field("outcome", static_cast<int>(written.outcome)),
                                 field("fence", static_cast<std::uint64_t>(written.version)));
        this->push(written);
    }

    void perform(core::AskEngineState &&question)
    {
        net::HttpRequest request = platform::encodeStateQuestion(question);
        request.deadline = runtime::now() + engineLimit;
        request.done = [this, target = question.target.id](net::HttpResult &&result) {
            this->push(core::EngineStateHeard{target, platform::decodeEngineState(result)});
        };
        this->parts.engines->send(std::move(request));
    }

    void perform(core::PlaceWeightOrder &&order)
    {
        net::HttpRequest request = platform::encodeWeightOrder(order, this->state.settings.self.id);
        request.deadline = runtime::now() + engineLimit;
        request.done = [this, order](net::HttpResult &&result) {
            const core::WeightOrderReply reply = platform::decodeWeightOrderReply(result);
            this->parts.logger.write("weights_ordered", field("target", order.target.id.value),
                                     field("model", order.model),
                                     field("version", core::number(order.version)),
                                     field("fence", core::number(order.fence)),
                                     field("reply", static_cast<int>(reply)));
            this->push(core::WeightOrderReplied{order.target.id, reply});
        };
        this->parts.engines->send(std::move(request));
    }

    void perform(core::PublishDirectory &&publish)
    {
        const core::DirectoryPointer &directory = publish.directory;
        this->parts.directory.set(directory);
        // A full ring leaves a picture out; the next one replaces it.
        static_cast<void>(
                this->parts.batches.inbox().tryPush(core::BatchDirectoryChanged{directory}));
        this->tellPeers(*directory);
        if (!publish.routesChanged)
            return;
        static_cast<void>(
                this->parts.calls.inbox().tryPush(core::EntryDirectoryChanged{directory}));
        if (directory->routing && directory->routing->version != this->routingTold)
            this->applyRouting(*directory->routing);
    }

    void applyRouting(const core::RoutingTable &routing)
    {
        this->routingTold = routing.version;
        this->parts.logger.write("routing_in_force",
                                 field("version", core::number(routing.version)),
                                 field("routes", routing.routes.size()));
        const core::EntryLimits &limits = routing.limits;
        this->parts.callers->setLimits({limits.maxHeaderBytes, limits.maxBodyBytes,
                                        limits.headerTimeout, limits.idleTimeout});
    }

    void tellPeers(const core::Directory &directory)
    {
        std::vector<std::string> addresses;
        for (const core::Node &node : core::liveNodes(directory.presence, runtime::now())) {
            if (node.id != this->state.settings.self.id)
                addresses.push_back(node.address);
        }
        this->parts.store->setPeers(std::move(addresses));
    }
};

} // namespace

void startFleet(Parts &parts, const core::Node &self, const Settings &settings)
{
    core::FleetSettings fleet;
    fleet.self = self;
    fleet.capacity = settings.capacity;
    fleet.leaseTime = settings.leaseTime;
    auto duty = std::make_shared<FleetDuty>(FleetDuty{
            parts,
            core::makeFleetState(std::move(fleet), runtime::now()),
            Wakeup(*parts.timer,
                   [&parts] { static_cast<void>(parts.fleet.inbox().tryPush(core::FleetTick{})); }),
            runtime::timeSuspended(),
            {}});
    parts.fleet.start("fleet", [duty](core::FleetEvent &&event) { duty->handle(event); });
    parts.fleet.inbox().push(core::FleetTick{});
}

} // namespace geraniumpulley::entry
