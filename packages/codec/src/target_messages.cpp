#include <geraniumpulley/codec/target_messages.hpp>

#include <geraniumpulley/codec/detail/json_reader.hpp>
#include <geraniumpulley/codec/error.hpp>

#include <sstream>
#include <utility>

namespace geraniumpulley::codec {
namespace {

using detail::JsonReader;
using detail::Problems;
using web::json::value;

// Joins the chunk to the last span when the same engine process and version made both.
void appendSpan(std::vector<core::VersionSpan> &spans, core::VersionSpan span)
{
    if (!spans.empty() && spans.back().version == span.version
        && spans.back().incarnation == span.incarnation)
        spans.back().last = span.last;
    else
        spans.push_back(std::move(span));
}

struct GenerationReader
{
    core::SampleGenerated sample;
    std::uint64_t tokens = 0;
    bool ended = false;

    core::Result<void> readLine(const std::string &line)
    {
        Problems problems;
        const value parsed = detail::parseJson(line, problems);
        if (!problems.empty())
            return make_error_code(Errc::NotJson);
        JsonReader reader(parsed, "", problems);
        if (parsed.is_object() && parsed.has_field("end")) {
            const std::uint64_t total = reader.readNumber("end");
            this->ended = problems.empty() && total == this->tokens;
            return boost::outcome_v2::success();
        }
        const std::string incarnation = reader.readString("incarnation");
        const core::WeightVersion version{reader.readNumber("version")};
        const std::vector<std::string> tokensOfLine = reader.readStrings("tokens");
        if (!problems.empty())
            return make_error_code(Errc::WrongShape);
        const std::uint64_t first = this->tokens;
        this->tokens += tokensOfLine.size();
        for (const std::string &token : tokensOfLine)
            this->sample.text += token;
        appendSpan(this->sample.spans, {version, incarnation, first, this->tokens});
        return boost::outcome_v2::success();
    }
};

} // namespace

std::string encodeGenerate(const core::Generate &order, const std::string &requestId)
{
    value body = value::object();
    body["request"] = value::string(requestId);
    body["prompt"] = value::string(order.prompt);
    body["max_tokens"] = value::number(order.maxTokens);
    body["priority"] = value::string("rollout");
    return body.serialize();
}

core::Result<core::SampleGenerated> decodeGeneration(const std::string &body,
                                                     const core::SampleSlot &slot)
{
    GenerationReader reader;
    reader.sample.slot = slot;
    std::istringstream lines(body);
    std::string line;
    while (std::getline(lines, line)) {
        if (reader.ended)
            return make_error_code(Errc::WrongShape);
        const core::Result<void> read = reader.readLine(line);
        if (!read)
            return read.error();
    }
    if (!reader.ended)
        return make_error_code(Errc::NotWhole);
    return std::move(reader.sample);
}

std::string encodeScore(const core::Score &order)
{
    value body = value::object();
    body["prompt"] = value::string(order.prompt);
    body["text"] = value::string(order.text);
    return body.serialize();
}

core::Result<double> decodeScore(const std::string &body)
{
    Problems problems;
    const value parsed = detail::parseJson(body, problems);
    JsonReader reader(parsed, "", problems);
    const double reward = reader.readReal("reward");
    if (!problems.empty())
        return make_error_code(Errc::WrongShape);
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
