#include <geraniumpulley/codec/engine_messages.hpp>

#include "message_pack.hpp"

#include <geraniumpulley/codec/detail/json_reader.hpp>
#include <geraniumpulley/codec/error.hpp>

#include <cpprest/base_uri.h>

#include <tuple>
#include <utility>

namespace geraniumpulley::codec {
namespace {

using detail::JsonReader;
using detail::Problems;
using std::chrono::milliseconds;
using web::json::value;

constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusConflict = 409;
constexpr const char *staleFenceRefusal = "old fence";

using EngineReportWire = std::tuple<std::string, std::uint64_t, std::string, std::uint32_t, bool,
                                    std::int64_t, std::uint64_t>;
using EngineReportsWire = std::tuple<std::vector<EngineReportWire>>;
using DesiredWeightsWire = std::tuple<std::string, std::uint64_t>;

core::Result<TableRow> decodeSingleRow(const std::string &body)
{
    auto rows = decodeRows(body);
    if (!rows)
        return rows.error();
    if (rows.value().empty())
        return TableRow{};
    return std::move(rows.value().front());
}

} // namespace

core::Result<core::EngineReport> decodeLoadReport(const std::string &body,
                                                  const core::TargetId &target)
{
    Problems problems;
    const value parsed = detail::parseJson(body, problems);
    JsonReader reader(parsed, "", problems);
    core::EngineReport report;
    report.target = target;
    report.version = core::WeightVersion{reader.readNumber("version")};
    report.incarnation = reader.readString("incarnation");
    report.inFlight = static_cast<std::uint32_t>(reader.readNumber("in_flight", {0, 1'000'000}));
    report.swapping = reader.readBool("loading", false);
    report.sequence = reader.readNumber("sequence");
    report.age = reader.readMilliseconds("age_ms", core::Duration::zero(), core::Duration::zero());
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return report;
}

std::string encodeWeightOrder(const core::OrderWeights &order)
{
    value body = value::object();
    body["version"] = value::number(core::number(order.version));
    body["fence"] = value::number(core::number(order.fence));
    if (!order.source.empty())
        body["source"] = value::string(order.source);
    return body.serialize();
}

core::WeightOrderResult decodeWeightOrderAnswer(std::uint32_t status, const std::string &body,
                                                core::WeightVersion orderedVersion)
{
    Problems problems;
    const value parsed = detail::parseJson(body, problems);
    JsonReader reader(parsed, "", problems);
    if (status == statusConflict && reader.readString("refused", "") == staleFenceRefusal)
        return core::WeightOrderResult::StaleFencingToken;
    if (status != statusOk)
        return core::WeightOrderResult::Failed;
    const core::WeightVersion loadedVersion{reader.readNumber("version")};
    const bool isLoaded = problems.empty() && loadedVersion >= orderedVersion;
    return isLoaded ? core::WeightOrderResult::Done : core::WeightOrderResult::Failed;
}

ParsedWeightsUpdate parseWeightsUpdate(const std::string &body)
{
    ParsedWeightsUpdate parsed;
    const value json = detail::parseJson(body, parsed.problems);
    if (!parsed.problems.empty())
        return parsed;
    JsonReader reader(json, "", parsed.problems);
    parsed.model.value = reader.readString("model");
    detail::Range range;
    range.min = 1;
    parsed.version = core::WeightVersion{reader.readNumber("version", range)};
    reader.reportUnknownKeys();
    return parsed;
}

std::string encodeWeightsAnswer(const core::AnswerWeights &answer)
{
    value body = value::object();
    body["state"] = value::string(nameOf(answer.verdict));
    body["desired"] = value::number(core::number(answer.desired));
    return body.serialize();
}

const char *nameOf(core::WeightsVerdict verdict)
{
    switch (verdict) {
    case core::WeightsVerdict::Accepted:
        return "accepted";
    case core::WeightsVerdict::Lower:
        return "lower";
    case core::WeightsVerdict::Unknown:
        return "unknown";
    case core::WeightsVerdict::UnknownModel:
        return "unknown_model";
    }
    return "unknown";
}

const char *nameOf(core::WeightOrderResult result)
{
    switch (result) {
    case core::WeightOrderResult::Done:
        return "done";
    case core::WeightOrderResult::Failed:
        return "failed";
    case core::WeightOrderResult::StaleFencingToken:
        return "old_fence";
    case core::WeightOrderResult::Lost:
        return "lost";
    }
    return "lost";
}

std::string rowPath(const std::string &key)
{
    return "/table/rows?key=" + web::uri::encode_data_string(key);
}

std::string weightsRowKey(const core::ServiceName &model)
{
    return "weights/" + model.value;
}

std::string groupClaimRowKey(const std::string &group)
{
    return "engines/" + group;
}

TableTransaction weightsTransaction(const core::CommitWeights &commit)
{
    value row = value::object();
    row["version"] = value::number(core::number(commit.version));
    const std::string key = weightsRowKey(commit.model);
    return {{{key, commit.rowVersion}}, {{key, row.serialize()}}, {}};
}

TableTransaction claimTransaction(const core::WriteGroupClaim &claim)
{
    const std::string key = groupClaimRowKey(claim.key);
    return {{{key, claim.rowVersion}}, {{key, claim.claim}}, {}};
}

core::Result<core::DesiredWeights> decodeWeightsRow(const std::string &body)
{
    const auto row = decodeSingleRow(body);
    if (!row)
        return row.error();
    if (row.value().version == 0)
        return core::DesiredWeights{};
    Problems problems;
    const value parsed = detail::parseJson(row.value().value, problems);
    JsonReader reader(parsed, "", problems);
    const core::WeightVersion version{reader.readNumber("version")};
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return core::DesiredWeights{version, row.value().version};
}

core::Result<core::GroupClaimRead> decodeClaimRow(const std::string &body, const std::string &group)
{
    const auto row = decodeSingleRow(body);
    if (!row)
        return row.error();
    return core::GroupClaimRead{group, row.value().value, row.value().version};
}

std::string encodePeer(const std::vector<core::EngineReport> &reports)
{
    std::vector<EngineReportWire> wires;
    wires.reserve(reports.size());
    for (const core::EngineReport &report : reports) {
        const auto age = std::chrono::duration_cast<milliseconds>(report.age);
        wires.emplace_back(report.target.value, core::number(report.version), report.incarnation,
                           report.inFlight, report.swapping, age.count(), report.sequence);
    }
    return detail::pack(EngineReportsWire{std::move(wires)});
}

std::string encodePeer(const core::DesiredWeightsReceived &desired)
{
    return detail::pack(DesiredWeightsWire{desired.model.value, core::number(desired.version)});
}

core::Result<std::vector<core::EngineReport>> decodeEngineReports(const std::string &bytes)
{
    const auto wires = detail::unpack<EngineReportsWire>(bytes);
    if (!wires)
        return wires.error();
    std::vector<core::EngineReport> reports;
    for (const EngineReportWire &wire : std::get<0>(wires.value())) {
        const auto &[target, version, incarnation, inFlight, swapping, age, sequence] = wire;
        reports.push_back({{target},
                           core::WeightVersion{version},
                           incarnation,
                           inFlight,
                           swapping,
                           {},
                           milliseconds(age),
                           sequence});
    }
    return reports;
}

core::Result<core::DesiredWeightsReceived> decodeDesiredWeights(const std::string &bytes)
{
    const auto wire = detail::unpack<DesiredWeightsWire>(bytes);
    if (!wire)
        return wire.error();
    return core::DesiredWeightsReceived{{std::get<0>(wire.value())},
                                        core::WeightVersion{std::get<1>(wire.value())}};
}

} // namespace geraniumpulley::codec
