#include <geraniumpulley/codec/platform_messages.hpp>

#include <geraniumpulley/codec/configuration_text.hpp>
#include <geraniumpulley/codec/detail/change_json.hpp>
#include <geraniumpulley/codec/detail/json_reader.hpp>
#include <geraniumpulley/codec/error.hpp>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <utility>

namespace geraniumpulley::codec {
namespace {

using detail::JsonReader;
using detail::Problems;
using web::json::value;

value encodeDocument(const core::ConfigurationDocument &document)
{
    value encoded = value::object();
    encoded["version"] = value::number(core::number(document.version));
    encoded["submission_id"] = value::string(document.submissionId);
    encoded["author"] = value::string(document.author);
    encoded["text"] = value::string(document.text);
    return encoded;
}

std::string encodeVersion(core::ConfigurationVersion version)
{
    value encoded = value::object();
    encoded["version"] = value::number(core::number(version));
    return encoded.serialize();
}

value encodeAuditEntry(const core::AuditEntry &entry)
{
    const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(entry.submittedAt);
    value encoded = value::object();
    encoded["version"] = value::number(core::number(entry.version));
    encoded["base"] = value::number(core::number(entry.base));
    encoded["author"] = value::string(entry.author);
    encoded["submission_id"] = value::string(entry.submissionId);
    encoded["digest"] = value::string(entry.digest);
    encoded["changes"] = detail::encodeChanges(entry.changes);
    encoded["when"] = value::string(fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", seconds));
    return encoded;
}

core::Target readTarget(JsonReader &reader)
{
    core::Target target;
    target.id.value = reader.readString("vm");
    target.service.value = reader.readString("service");
    target.address = reader.readString("address");
    target.dataCentre = reader.readString("data_centre", "");
    target.leaving = reader.readString("state", "live") != "live";
    return target;
}

} // namespace

std::string encodeTransaction(const TableTransaction &transaction)
{
    std::vector<value> checks;
    for (const RowCheck &check : transaction.checks) {
        value encoded = value::object();
        encoded["key"] = value::string(check.key);
        encoded["version"] = value::number(check.version);
        checks.push_back(std::move(encoded));
    }
    std::vector<value> writes;
    for (const RowWrite &write : transaction.writes) {
        value encoded = value::object();
        encoded["key"] = value::string(write.key);
        encoded["value"] = value::string(write.value);
        writes.push_back(std::move(encoded));
    }
    value body = value::object();
    body["checks"] = value::array(std::move(checks));
    body["writes"] = value::array(std::move(writes));
    std::vector<value> deletes;
    for (const std::string &key : transaction.deletes)
        deletes.push_back(value::string(key));
    body["deletes"] = value::array(std::move(deletes));
    return body.serialize();
}

core::Result<std::vector<TableRow>> decodeRows(const std::string &body)
{
    Problems problems;
    const value parsed = detail::parseJson(body, problems);
    std::vector<TableRow> rows;
    JsonReader reader(parsed, "", problems);
    reader.readObjects("rows", [&](JsonReader &row) {
        const std::string key = row.readString("key");
        const std::string text = row.readString("value");
        rows.push_back({key, text, row.readNumber("version")});
    });
    reader.reportUnknownKeys();
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return rows;
}

core::Result<std::vector<core::Target>> decodeTargets(const std::string &body)
{
    Problems problems;
    const value parsed = detail::parseJson(body, problems);
    std::vector<core::Target> targets;
    JsonReader reader(parsed, "", problems);
    reader.readObjects("vms", [&](JsonReader &vm) { targets.push_back(readTarget(vm)); });
    reader.reportUnknownKeys();
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return targets;
}

RowCheck fenceCheck(const core::Shard &shard, core::FencingToken fence)
{
    return {"fence/" + core::nameOf(shard), core::number(fence)};
}

TableTransaction configurationTransaction(const core::CommitConfiguration &commit)
{
    const std::string auditKey =
            fmt::format("{}{:012}", auditRowPrefix, core::number(commit.audit.version));
    TableTransaction transaction;
    const std::string submissionKey = submissionRowPrefix + commit.audit.submissionId;
    // Each accepted configuration writes the head row once, so the row's version equals the
    // configuration's version.
    transaction.checks.push_back({configurationHeadRowKey, core::number(commit.audit.base)});
    transaction.checks.push_back({submissionKey, 0});
    transaction.writes.push_back({configurationHeadRowKey, encodeVersion(commit.audit.version)});
    transaction.writes.push_back({submissionKey, encodeVersion(commit.audit.version)});
    transaction.writes.push_back(
            {configurationRowKey, encodeDocument(commit.document).serialize()});
    transaction.writes.push_back({auditKey, encodeAuditEntry(commit.audit).serialize()});
    return transaction;
}

core::Result<core::ConfigurationVersion> decodeVersionRow(const std::string &text)
{
    Problems problems;
    const value parsed = detail::parseJson(text, problems);
    JsonReader reader(parsed, "", problems);
    const std::uint64_t version = reader.readNumber("version");
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return core::ConfigurationVersion{version};
}

core::Result<core::ConfigurationDocument> decodeConfigurationRow(const std::string &text)
{
    Problems problems;
    const value parsed = detail::parseJson(text, problems);
    JsonReader reader(parsed, "", problems);
    core::ConfigurationDocument document;
    document.version = core::ConfigurationVersion{reader.readNumber("version")};
    document.submissionId = reader.readString("submission_id");
    document.author = reader.readString("author");
    document.text = reader.readString("text");
    reader.reportUnknownKeys();
    ParsedConfiguration configuration = parseConfiguration(document.text);
    if (!problems.empty() || !configuration.problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    document.configuration =
            std::make_shared<const core::Configuration>(std::move(configuration.configuration));
    return document;
}

} // namespace geraniumpulley::codec
