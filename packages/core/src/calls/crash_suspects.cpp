#include <geraniumpulley/core/calls/crash_suspects.hpp>

#include "crash_probe.hpp"

#include <algorithm>
#include <utility>

namespace geraniumpulley::core {
namespace {

std::size_t countRecords(const CrashLog &log)
{
    std::size_t count = 0;
    for (const auto &[request, crashes] : log)
        count += crashes.size();
    return count;
}

void eraseRecord(CrashLog &log, const CrashRecord &record)
{
    const auto position = log.find(record.request);
    if (position == log.end())
        return;
    position->second.erase(record.crashed);
    if (position->second.empty())
        log.erase(position);
}

bool contains(const CrashLog &log, const CrashRecord &record)
{
    const auto position = log.find(record.request);
    return position != log.end() && position->second.count(record.crashed) != 0;
}

std::vector<CrashRecord> recordsOf(const CrashLog &log, const RequestDigest &request)
{
    std::vector<CrashRecord> records;
    const auto position = log.find(request);
    if (position == log.end())
        return records;
    for (const auto &[crash, expiresAt] : position->second)
        records.push_back({request, crash, expiresAt});
    return records;
}

std::vector<CrashRecord> expiredRecords(const CrashLog &log, Duration storeTime)
{
    std::vector<CrashRecord> records;
    for (const auto &[request, crashes] : log) {
        for (const auto &[crash, expiresAt] : crashes) {
            if (expiresAt <= storeTime)
                records.push_back({request, crash, expiresAt});
        }
    }
    return records;
}

void queueRemovals(CrashSuspects &suspects, const std::vector<CrashRecord> &records)
{
    for (const CrashRecord &record : records) {
        if (suspects.removable.size() < suspects.settings.maxStoredRecords)
            suspects.removable.push_back(record);
    }
}

// Requests with the fewest crashes are dropped first: they are the least likely culprits.
void dropLocalRecords(CrashSuspects &suspects)
{
    while (countRecords(suspects.local) > suspects.settings.maxLocalRecords) {
        const auto least = std::min_element(
                suspects.local.begin(), suspects.local.end(),
                [](const auto &a, const auto &b) { return a.second.size() < b.second.size(); });
        for (const CrashRecord &record : recordsOf(suspects.local, least->first))
            eraseRecord(suspects.log, record);
        std::erase_if(suspects.unstored,
                      [&](const CrashRecord &record) { return record.request == least->first; });
        suspects.written.erase(least->first);
        suspects.local.erase(least);
    }
}

} // namespace

OperationId addToCheck(CrashSuspects &suspects, OperationId newCheck,
                       const TargetIncarnation &target, const RequestDigest &request)
{
    const auto position =
            std::find_if(suspects.checks.begin(), suspects.checks.end(),
                         [&](const auto &entry) { return entry.second.target == target; });
    if (position == suspects.checks.end()) {
        suspects.checks.emplace(newCheck, CrashCheck{target, {request}});
        return newCheck;
    }
    position->second.requests.insert(request);
    return position->first;
}

std::vector<CrashRecord> recordCrashProbe(CrashSuspects &suspects, const TargetsProbed &probed,
                                          Duration storeTime, Time now)
{
    std::vector<CrashRecord> records;
    const auto position = suspects.checks.find(probed.operation);
    if (position == suspects.checks.end() || probed.outcomes.empty())
        return records;
    CrashCheck &check = position->second;
    if (probed.outcomes.front() == ProbeOutcome::Accepted && !check.isRepeated) {
        check.repeatAt = now + suspects.settings.repeatDelay;
        return records;
    }
    if (showsCrash(probed)) {
        for (const RequestDigest &request : check.requests)
            records.push_back(
                    {request, check.target, storeTime + suspects.settings.judging.retention});
    }
    suspects.checks.erase(position);
    return records;
}

std::vector<OperationId> dueCrashProbes(CrashSuspects &suspects, Time now)
{
    std::vector<OperationId> due;
    for (auto &[operation, check] : suspects.checks) {
        if (!check.repeatAt || *check.repeatAt > now)
            continue;
        check.repeatAt.reset();
        check.isRepeated = true;
        due.push_back(operation);
    }
    return due;
}

void addRecord(CrashSuspects &suspects, const CrashRecord &record)
{
    if (contains(suspects.log, record))
        return;
    suspects.local[record.request][record.crashed] = record.expiresAt;
    suspects.log[record.request][record.crashed] = record.expiresAt;
    dropLocalRecords(suspects);
}

void shareRecords(CrashSuspects &suspects, const RequestDigest &request)
{
    for (const CrashRecord &record : recordsOf(suspects.local, request)) {
        const auto &queue = suspects.unstored;
        const bool isQueued = std::find(queue.begin(), queue.end(), record) != queue.end();
        if (!isQueued && !contains(suspects.written, record))
            suspects.unstored.push_back(record);
    }
}

void clearRequest(CrashSuspects &suspects, const RequestDigest &request)
{
    for (auto &[operation, check] : suspects.checks)
        check.requests.erase(request);
    if (suspects.log.erase(request) == 0)
        return;
    if (suspects.stored)
        queueRemovals(suspects, recordsOf(*suspects.stored, request));
    queueRemovals(suspects, recordsOf(suspects.written, request));
    suspects.written.erase(request);
    suspects.local.erase(request);
    std::erase_if(suspects.unstored,
                  [&](const CrashRecord &record) { return record.request == request; });
}

bool replaceStored(CrashSuspects &suspects, const std::shared_ptr<const CrashLog> &stored)
{
    if (suspects.stored == stored || !stored)
        return false;
    suspects.stored = stored;
    for (const auto &[request, crashes] : *stored) {
        for (const auto &[crash, expiresAt] : crashes) {
            eraseRecord(suspects.local, {request, crash, expiresAt});
            eraseRecord(suspects.written, {request, crash, expiresAt});
        }
    }
    suspects.log = suspects.local;
    for (const auto &[request, crashes] : *stored)
        suspects.log[request].insert(crashes.begin(), crashes.end());
    // Records that are being removed do not count until the store has removed them.
    for (const CrashRecord &record : suspects.removable)
        eraseRecord(suspects.log, record);
    if (suspects.write) {
        for (const CrashRecord &record : suspects.write->removals)
            eraseRecord(suspects.log, record);
    }
    return true;
}

void sweepRecords(CrashSuspects &suspects, Duration storeTime)
{
    for (const CrashRecord &record : expiredRecords(suspects.local, storeTime)) {
        eraseRecord(suspects.local, record);
        eraseRecord(suspects.written, record);
        eraseRecord(suspects.log, record);
    }
    if (suspects.stored)
        queueRemovals(suspects, expiredRecords(*suspects.stored, storeTime));
}

std::optional<StoreCrashRecords> dueCrashWrite(CrashSuspects &suspects, Time now)
{
    if (suspects.write || now < suspects.nextWriteAt
        || (suspects.unstored.empty() && suspects.removable.empty()))
        return std::nullopt;
    const CrashSuspectSettings &settings = suspects.settings;
    StoreCrashRecords write;
    std::size_t storedCount = suspects.stored ? countRecords(*suspects.stored) : 0;
    while (!suspects.unstored.empty() && write.records.size() < settings.maxWrites) {
        const CrashRecord record = std::move(suspects.unstored.front());
        suspects.unstored.pop_front();
        if (storedCount++ >= settings.maxStoredRecords)
            continue;
        suspects.written[record.request][record.crashed] = record.expiresAt;
        write.records.push_back(record);
    }
    while (!suspects.removable.empty() && write.removals.size() < settings.maxRemovals) {
        write.removals.push_back(std::move(suspects.removable.back()));
        suspects.removable.pop_back();
    }
    if (write.records.empty() && write.removals.empty())
        return std::nullopt;
    suspects.write = write;
    return write;
}

void recordCrashWrite(CrashSuspects &suspects, bool succeeded, Time now)
{
    if (!suspects.write)
        return;
    const StoreCrashRecords write = std::move(*suspects.write);
    suspects.write.reset();
    if (succeeded)
        return;
    // Writes and removals are repeated as they were, so a late effect of the first try is harmless.
    suspects.nextWriteAt = now + suspects.settings.writeRetryDelay;
    for (const CrashRecord &record : write.records) {
        if (contains(suspects.local, record))
            suspects.unstored.push_back(record);
    }
    suspects.removable.insert(suspects.removable.end(), write.removals.begin(),
                              write.removals.end());
}

std::optional<Time> dueAt(const CrashSuspects &suspects)
{
    std::optional<Time> due;
    if (!suspects.write && !(suspects.unstored.empty() && suspects.removable.empty()))
        due = suspects.nextWriteAt;
    for (const auto &[operation, check] : suspects.checks) {
        if (check.repeatAt)
            due = std::min(due.value_or(*check.repeatAt), *check.repeatAt);
    }
    return due;
}

} // namespace geraniumpulley::core
