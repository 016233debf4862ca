#pragma once

#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/rollouts/rollout.hpp>

#include <cstdint>
#include <set>
#include <string>

/// Encodings of a step's log as rows of the table service. Samples are in the object store, one
/// object per record, under a name that is never reused.
namespace geraniumpulley::codec {

/// \return the key of the row that lists a trainer's open steps.
std::string stepIndexKey(const core::TrainerName &trainer);
core::Result<std::set<std::uint64_t>> decodeStepIndex(const std::string &value);

/// \return the key prefix of the rows of one step's log; the keys sort by record number.
std::string stepRowPrefix(const core::StepId &id);
std::string stepRowKey(const core::StepId &id, std::uint64_t number);

/// \return the request path of the object that holds the samples of a record.
std::string samplesPath(const core::StepId &id, const std::string &writeId);

/// \return the name of a record's kind in rows and logs, such as "sealed".
const char *recordKind(const core::StepRecordContent &content);

/// \return the transaction that appends a record. It commits only if no record has that number and,
/// where a fencing token is given, the token is still current.
TableTransaction appendTransaction(const core::AppendRecord &append);

/// Decodes a row of the log. A `SamplesFinished` record is returned without its samples, which
/// the row does not contain.
core::Result<core::StepRecord> decodeStepRecord(const std::string &value, const core::StepId &id);

} // namespace geraniumpulley::codec
