#pragma once

#include <geraniumpulley/core/calls/dispatch.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/rollouts/rollout.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Message bodies that are exchanged with targets (JSON).
namespace geraniumpulley::codec {

/// \return the body of `POST /generate`; the engine echoes `requestId`.
std::string encodeGenerate(const core::Generate &order, const std::string &requestId);

/// \return the body of `POST /cancel`.
std::string encodeCancel(const core::CancelGeneration &order, const std::string &requestId);

/// Tokens decoded from one part of an engine's stream.
struct GenerationPart
{
    std::string text;
    std::vector<core::VersionSpan> spans; ///< Positions count from the stream's first token.
};

/// State of the incremental decoder of a generation stream. The stream has one JSON object per
/// line: chunks of tokens with the weight version and the engine process (incarnation) that
/// generated them, then an end marker with the number of tokens.
struct GenerationStream
{
    std::string partialLine; ///< The beginning of a line that is not yet complete.
    std::uint64_t tokenCount = 0; ///< Number of tokens decoded from this stream.
    std::optional<std::uint64_t>
            declaredTokens; ///< Token count in the end marker, resumed tokens included.
};

/// Decodes the next bytes of a stream.
/// \return the tokens of the lines that these bytes complete, or `Errc::NotJson` or
/// `Errc::SchemaMismatch`; after an error the stream cannot be decoded any further. Complexity:
/// linear in the number of bytes.
core::Result<GenerationPart> decodeGenerationBytes(GenerationStream &stream,
                                                   const std::string &bytes);

/// \return whether the stream has reached its end marker and no data follows it.
bool isEnded(const GenerationStream &stream);

/// \return the body of `POST /score`.
std::string encodeScore(const core::Score &request);

/// \return the reward in the answer to `POST /score`, or `Errc::SchemaMismatch`.
core::Result<double> decodeScore(const std::string &body);

/// \return the JSON body of an answer that the system itself generates, with outcome and reason.
/// \param detail an explanation for human readers; omitted when empty.
std::string encodeRefusal(const core::CallAnswer &answer, const std::string &detail = {});

} // namespace geraniumpulley::codec
