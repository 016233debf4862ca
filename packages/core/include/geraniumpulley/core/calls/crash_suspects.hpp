#pragma once

#include <geraniumpulley/core/calls/crash_log.hpp>
#include <geraniumpulley/core/calls/target_probe.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

/// The crash records that this node has made, and their exchange with the other nodes: equal
/// requests may reach targets through any node. The records lie in the store, which every node
/// follows; while it does not answer, nodes send them to each other.
namespace geraniumpulley::core {

struct CrashSuspectSettings
{
    CrashSettings judging;
    /// The number of records up to which new ones are stored. Beyond it a node keeps its own.
    std::size_t maxStoredRecords = 500;
    std::size_t maxLocalRecords = 500;
    std::size_t maxWrites = 40; ///< Records in one write.
    std::size_t maxRemovals = 40; ///< Removals in one write. Both together fit a transaction.
    /// Limit of a node's random share of the pause. Without it, all nodes that receive a request
    /// would try it again at the same moment.
    Duration maxExtraPause = std::chrono::seconds(5);
    /// The time after which a target that has accepted a probe is probed again: while a process
    /// ends, its listening socket may outlive its connections.
    Duration repeatDelay = std::chrono::milliseconds(50);
    Duration writeRetryDelay = std::chrono::milliseconds(200);
    Duration sweepPeriod = std::chrono::seconds(10); ///< Between two removals of expired records.
};

/// Action: writes crash records to the store and removes others.
struct StoreCrashRecords
{
    std::vector<CrashRecord> records;
    std::vector<CrashRecord> removals;
};
/// Event: the store has answered a `StoreCrashRecords`, or did not answer in time.
struct CrashRecordsStored
{
    bool succeeded = false;
};
/// Event: another node sends the records that it could not store.
struct CrashRecordsReceived
{
    std::vector<CrashRecord> records;
};

/// Requests whose connections a target has closed. Whether the target crashed is being checked.
struct CrashCheck
{
    TargetIncarnation target;
    std::set<RequestDigest> requests;
    std::optional<Time> repeatAt = {}; ///< When the target is to be probed again.
    bool isRepeated = false;
};

struct CrashSuspects
{
    CrashSuspectSettings settings;
    std::shared_ptr<const CrashLog> stored; ///< The records in the store; may be null.
    CrashLog local; ///< Records that have not been read from the store yet.
    CrashLog written; ///< Of the local records, those that a write has contained.
    CrashLog log; ///< Stored and local records.
    std::map<OperationId, CrashCheck> checks;
    std::deque<CrashRecord> unstored; ///< Local records that are to be written.
    std::vector<CrashRecord> removable; ///< Records to remove from the store.
    std::optional<StoreCrashRecords> write; ///< The write in flight.
    Time nextWriteAt{};
    Time nextSweepAt{};
};

/// Adds a request to the check of a target.
/// \param newCheck the id of the check if none is in progress for the target, which is to be probed
/// then.
/// \return the id of the check.
OperationId addToCheck(CrashSuspects &suspects, OperationId newCheck,
                       const TargetIncarnation &target, const RequestDigest &request);

/// Records the probe of a check. The check ends, or its target is to be probed once more.
/// \return the records of its requests if the target has crashed.
std::vector<CrashRecord> recordCrashProbe(CrashSuspects &suspects, const TargetsProbed &probed,
                                          Duration storeTime, Time now);

/// \return the checks whose targets are to be probed again now.
std::vector<OperationId> dueCrashProbes(CrashSuspects &suspects, Time now);

/// Adds a record that this node has made or received.
void addRecord(CrashSuspects &suspects, const CrashRecord &record);

/// Queues the local records of a request for the store.
void shareRecords(CrashSuspects &suspects, const RequestDigest &request);

/// Removes all records of a request that a target has answered, here and in the store.
void clearRequest(CrashSuspects &suspects, const RequestDigest &request);

/// Takes over the records that the store has now. \return whether they have changed.
bool replaceStored(CrashSuspects &suspects, const std::shared_ptr<const CrashLog> &stored);

/// Drops expired local records, and queues the removal of those in the store.
void sweepRecords(CrashSuspects &suspects, Duration storeTime);

/// \return the write that is due, if any.
std::optional<StoreCrashRecords> dueCrashWrite(CrashSuspects &suspects, Time now);

void recordCrashWrite(CrashSuspects &suspects, bool succeeded, Time now);

/// \return when the next write or probe may be due.
std::optional<Time> dueAt(const CrashSuspects &suspects);

} // namespace geraniumpulley::core
