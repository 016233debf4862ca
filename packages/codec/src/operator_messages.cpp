#include <geraniumpulley/codec/operator_messages.hpp>

#include <geraniumpulley/codec/configuration_text.hpp>
#include <geraniumpulley/codec/detail/change_json.hpp>
#include <geraniumpulley/codec/detail/json_reader.hpp>
#include <geraniumpulley/codec/platform_messages.hpp>

#include <memory>
#include <utility>

namespace geraniumpulley::codec {
namespace {

using detail::JsonReader;
using web::json::value;

value encodeNode(const core::Node &node)
{
    value encoded = value::object();
    encoded["id"] = value::string(node.id.value);
    encoded["address"] = value::string(node.address);
    encoded["data_centre"] = value::string(node.dataCentre);
    return encoded;
}

value encodeMilliseconds(core::Duration duration)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    return value::number(static_cast<std::int64_t>(milliseconds.count()));
}

const char *nameOf(core::MemberState state)
{
    switch (state) {
    case core::MemberState::Alive:
        return "alive";
    case core::MemberState::Suspect:
        return "suspect";
    case core::MemberState::Dead:
        return "dead";
    }
    return "dead";
}

value encodeMember(const core::MemberStatus &member)
{
    value encoded = encodeNode(member.node);
    encoded["state"] = value::string(nameOf(member.state));
    encoded["version"] = value::number(core::number(member.version));
    encoded["silent_for_ms"] = encodeMilliseconds(member.silentFor);
    return encoded;
}

value encodeStore(const std::optional<core::Duration> &silentFor)
{
    value encoded = value::object();
    encoded["reached"] =
            value::boolean(silentFor.has_value() && *silentFor < core::storeSilenceTimeout);
    if (silentFor)
        encoded["silent_for_ms"] = encodeMilliseconds(*silentFor);
    return encoded;
}

value encodeShards(const std::vector<core::Shard> &shards)
{
    std::vector<value> names;
    names.reserve(shards.size());
    for (const core::Shard &shard : shards)
        names.push_back(value::string(core::nameOf(shard)));
    return value::array(std::move(names));
}

value encodeTarget(const core::Target &target)
{
    value encoded = value::object();
    encoded["vm"] = value::string(target.id.value);
    encoded["service"] = value::string(target.service.value);
    encoded["address"] = value::string(target.address);
    encoded["state"] = value::string(target.leaving ? "leaving" : "live");
    return encoded;
}

} // namespace

ParsedSubmission parseSubmission(const std::string &body)
{
    ParsedSubmission parsed;
    const value json = detail::parseJson(body, parsed.problems);
    if (!parsed.problems.empty())
        return parsed;
    JsonReader reader(json, "", parsed.problems);
    parsed.base = core::ConfigurationVersion{reader.readNumber("base")};
    parsed.document.author = reader.readString("author");
    parsed.document.submissionId = reader.readString("submission_id");
    parsed.document.text = reader.readString("text");
    reader.reportUnknownKeys();
    if (!parsed.problems.empty())
        return parsed;
    ParsedConfiguration configuration = parseConfiguration(parsed.document.text);
    parsed.problems = std::move(configuration.problems);
    parsed.document.configuration =
            std::make_shared<const core::Configuration>(std::move(configuration.configuration));
    return parsed;
}

std::string encodeSubmission(core::ConfigurationVersion base,
                             const core::ConfigurationDocument &document)
{
    value body = value::object();
    body["base"] = value::number(core::number(base));
    body["author"] = value::string(document.author);
    body["submission_id"] = value::string(document.submissionId);
    body["text"] = value::string(document.text);
    return body.serialize();
}

std::string encodeProblems(const std::vector<core::ConfigurationProblem> &problems)
{
    std::vector<value> encoded;
    for (const core::ConfigurationProblem &problem : problems) {
        value entry = value::object();
        entry["place"] = value::string(problem.place);
        entry["problem"] = value::string(problem.problem);
        entry["allowed"] = value::string(problem.allowed);
        encoded.push_back(std::move(entry));
    }
    value body = value::object();
    body["verdict"] = value::string("invalid");
    body["problems"] = value::array(std::move(encoded));
    return body.serialize();
}

std::string encodeSubmissionAnswer(const core::AnswerSubmission &answer)
{
    value body = value::object();
    body["verdict"] = value::string(nameOf(answer.verdict));
    body["version"] = value::number(core::number(answer.version));
    body["author"] = value::string(answer.author);
    body["submission_id"] = value::string(answer.submissionId);
    body["differences"] = detail::encodeChanges(answer.differences);
    return body.serialize();
}

std::string encodeStatus(const core::AnswerStatus &answer)
{
    std::vector<value> nodes;
    for (const core::Node &node : answer.view->nodes)
        nodes.push_back(encodeNode(node));
    std::vector<value> members;
    for (const core::MemberStatus &member : answer.members)
        members.push_back(encodeMember(member));
    std::vector<value> targets;
    for (const core::Target &target : answer.view->targets)
        targets.push_back(encodeTarget(target));
    value body = value::object();
    body["node"] = encodeNode(answer.self);
    body["version"] = value::number(core::number(answer.version));
    body["in_force_for_ms"] = encodeMilliseconds(answer.inForceFor);
    body["nodes"] = value::array(std::move(nodes));
    body["targets"] = value::array(std::move(targets));
    body["members"] = value::array(std::move(members));
    body["store"] = encodeStore(answer.storeSilentFor);
    body["replaced"] = value::boolean(answer.replaced);
    body["shards"] = encodeShards(answer.shards);
    return body.serialize();
}

std::string encodeReadiness(const core::AnswerStatus &answer)
{
    value body = value::object();
    const std::optional<std::string> reason = core::notReadyReason(answer);
    body["ready"] = value::boolean(!reason);
    if (reason)
        body["reason"] = value::string(*reason);
    return body.serialize();
}

std::string encodeAuditTrail(const std::string &rows)
{
    const auto decoded = decodeRows(rows);
    std::vector<value> entries;
    if (decoded) {
        for (const TableRow &row : decoded.value()) {
            detail::Problems problems;
            value entry = detail::parseJson(row.value, problems);
            entries.push_back(problems.empty() ? std::move(entry) : value::string(row.value));
        }
    }
    value body = value::object();
    body["audit"] = value::array(std::move(entries));
    return body.serialize();
}

const char *nameOf(core::SubmissionVerdict verdict)
{
    switch (verdict) {
    case core::SubmissionVerdict::Accepted:
        return "accepted";
    case core::SubmissionVerdict::Conflict:
        return "conflict";
    case core::SubmissionVerdict::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::uint32_t httpStatus(core::SubmissionVerdict verdict)
{
    switch (verdict) {
    case core::SubmissionVerdict::Accepted:
        return 200;
    case core::SubmissionVerdict::Conflict:
        return 409;
    case core::SubmissionVerdict::Unknown:
        return 503;
    }
    return 503;
}

} // namespace geraniumpulley::codec
