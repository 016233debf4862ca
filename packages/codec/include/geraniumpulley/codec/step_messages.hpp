#pragma once

#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/rollouts/rollout.hpp>

#include <cstdint>
#include <set>
#include <string>

/// A step's log as rows of the table service. Samples are in the object store, one object for each
/// record, under a name that is never used twice.
namespace geraniumpulley::codec {

/// The row that lists a trainer's open steps.
std::string stepIndexKey(const core::TrainerName &trainer);
core::Result<std::set<std::uint64_t>> decodeStepIndex(const std::string &value);

/// The prefix of the rows of one step's log; they sort by number.
std::string stepRowPrefix(const core::StepId &id);
std::string stepRowKey(const core::StepId &id, std::uint64_t number);

/// \return the path of the object that holds the samples of a record.
std::string samplesPath(const core::StepId &id, const std::string &writeId);

/// \return the name of a record's kind, such as "sealed", as rows and logs carry it.
const char *kindOf(const core::StepRecordContent &content);

/// The transaction that appends a record; it commits only when the number is free and the fence,
/// if there is one, is still in force.
TableTransaction appendTransaction(const core::AppendRecord &append);

/// Decodes a row of the log; the samples of `SamplesFinished` are left out.
core::Result<core::StepRecord> decodeStepRecord(const std::string &value, const core::StepId &id);

} // namespace geraniumpulley::codec
