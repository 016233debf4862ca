#pragma once

#include <geraniumpulley/core/dispatch.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/rollout.hpp>

#include <string>

/// Bodies that the system gives to targets and takes from them (JSON).
namespace geraniumpulley::codec {

/// \return the body of `POST /generate`; `requestId` is echoed by the engine.
std::string encodeGenerate(const core::Generate &order, const std::string &requestId);

/// Decodes a finished generation: one JSON object a line, chunks of tokens with the version and
/// incarnation that made them, then an end mark with the number of tokens.
/// \return `Errc::NotWhole` without a matching end mark, `Errc::WrongShape` on other faults.
core::Result<core::SampleGenerated> decodeGeneration(const std::string &body,
                                                     const core::SampleSlot &slot);

/// \return the body of `POST /score`.
std::string encodeScore(const core::Score &order);
core::Result<double> decodeScore(const std::string &body);

/// \return the JSON body of an answer that the system itself gives, with outcome and reason.
/// \param detail for humans; left out when empty.
std::string encodeRefusal(const core::CallAnswer &answer, const std::string &detail = {});

} // namespace geraniumpulley::codec
