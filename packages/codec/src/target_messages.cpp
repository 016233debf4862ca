#include <geraniumpulley/codec/target_messages.hpp>

#include <geraniumpulley/codec/detail/json_reader.hpp>
#include <geraniumpulley/codec/error.hpp>

#include <utility>

namespace geraniumpulley::codec {
namespace {

using detail::JsonReader;
using detail::Problems;
using web::json::value;

constexpr std::size_t maxLineBytes = 1024 * 1024;

core::Result<void> decodeLine(GenerationStream &stream, GenerationPart &part,
                              const std::string &line)
{
    Problems problems;
    const value parsed = detail::parseJson(line, problems);
    if (!problems.empty())
        return make_error_code(Errc::NotJson);
    JsonReader reader(parsed, "", problems);
    if (stream.declaredTokens)
        return make_error_code(Errc::SchemaMismatch);
    if (parsed.is_object() && parsed.has_field("end")) {
        stream.declaredTokens = reader.readNumber("end");
    } else {
        core::VersionSpan span;
        span.incarnation = reader.readString("incarnation");
        span.version = core::WeightVersion{reader.readNumber("version")};
        span.first = stream.tokenCount;
        for (const std::string &token : reader.readStrings("tokens")) {
            part.text += token;
            ++stream.tokenCount;
        }
        span.last = stream.tokenCount;
        core::appendSpan(part.spans, std::move(span));
    }
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return boost::outcome_v2::success();
}

} // namespace

std::string encodeGenerate(const core::Generate &order, const std::string &requestId)
{
    value body = value::object();
    body["request"] = value::string(requestId);
    body["prompt"] = value::string(order.prompt);
    body["max_tokens"] = value::number(order.maxTokens);
    body["attempt"] = value::number(order.attempt);
    body["priority"] = value::string("rollout");
    if (order.resumeTokens > 0) {
        value resume = value::object();
        resume["text"] = value::string(order.resumeText);
        resume["tokens"] = value::number(order.resumeTokens);
        body["resume"] = std::move(resume);
    }
    return body.serialize();
}

std::string encodeCancel(const core::CancelGeneration &order, const std::string &requestId)
{
    value body = value::object();
    body["request"] = value::string(requestId);
    body["attempt"] = value::number(order.attempt);
    return body.serialize();
}

core::Result<GenerationPart> decodeGenerationBytes(GenerationStream &stream,
                                                   const std::string &bytes)
{
    GenerationPart part;
    stream.partialLine += bytes;
    std::size_t begin = 0;
    std::size_t end = 0;
    while ((end = stream.partialLine.find('\n', begin)) != std::string::npos) {
        const core::Result<void> result =
                decodeLine(stream, part, stream.partialLine.substr(begin, end - begin));
        if (!result)
            return result.error();
        begin = end + 1;
    }
    stream.partialLine.erase(0, begin);
    if (stream.partialLine.size() > maxLineBytes)
        return make_error_code(Errc::SchemaMismatch);
    return part;
}

bool isEnded(const GenerationStream &stream)
{
    return stream.declaredTokens.has_value() && stream.partialLine.empty();
}

std::string encodeScore(const core::Score &request)
{
    value body = value::object();
    body["prompt"] = value::string(request.prompt);
    body["text"] = value::string(request.text);
    return body.serialize();
}

core::Result<double> decodeScore(const std::string &body)
{
    Problems problems;
    const value parsed = detail::parseJson(body, problems);
    JsonReader reader(parsed, "", problems);
    const double reward = reader.readReal("reward");
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return reward;
}

std::string encodeRefusal(const core::CallAnswer &answer, const std::string &detail)
{
    value body = value::object();
    body["outcome"] = value::string(std::string(core::nameOf(answer.outcome)));
    body["reason"] = value::string(std::string(core::nameOf(answer.reason)));
    if (!detail.empty())
        body["detail"] = value::string(detail);
    return body.serialize();
}

} // namespace geraniumpulley::codec
