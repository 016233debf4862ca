#pragma once

#include <geraniumpulley/core/calls/dispatch.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/rollouts/rollout.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Bodies that the system gives to targets and takes from them (JSON).
namespace geraniumpulley::codec {

/// \return the body of `POST /generate`; `requestId` is echoed by the engine.
std::string encodeGenerate(const core::Generate &order, const std::string &requestId);

/// \return the body of `POST /cancel`.
std::string encodeCancel(const core::CancelGeneration &order, const std::string &requestId);

/// Tokens of one engine's stream, as far as they have come.
struct GenerationPart
{
    std::string text;
    std::vector<core::VersionSpan> spans; ///< Counted from the first token of the stream.
};

/// Reads the stream of a generation as it comes: one JSON object a line, chunks of tokens with the
/// version and incarnation that made them, then an end mark with the number of tokens.
struct GenerationStream
{
    std::string rest; ///< The start of a line whose end has not come.
    std::uint64_t tokens = 0; ///< Of this stream.
    std::optional<std::uint64_t> total; ///< What the end mark says, resumed tokens included.
};

/// Takes the next bytes of a stream.
/// \return the tokens in them, or `Errc::NotJson`, `Errc::WrongShape`; nothing that follows an
/// error can be read. Complexity: linear in the bytes.
core::Result<GenerationPart> feed(GenerationStream &stream, const std::string &bytes);

/// \return whether the stream has come to its end mark and to nothing after it.
bool isEnded(const GenerationStream &stream);

/// \return the body of `POST /score`.
std::string encodeScore(const core::Score &order);
core::Result<double> decodeScore(const std::string &body);

/// \return the JSON body of an answer that the system itself gives, with outcome and reason.
/// \param detail for humans; left out when empty.
std::string encodeRefusal(const core::CallAnswer &answer, const std::string &detail = {});

} // namespace geraniumpulley::codec
