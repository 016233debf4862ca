#include <geraniumpulley/codec/step_messages.hpp>

#include <geraniumpulley/codec/detail/json_reader.hpp>
#include <geraniumpulley/codec/error.hpp>

#include <fmt/format.h>

#include <utility>

namespace geraniumpulley::codec {
namespace {

using detail::JsonReader;
using detail::Problems;
using web::json::value;

constexpr const char *openedKind = "opened";
constexpr const char *samplesKind = "samples";
constexpr const char *sealedKind = "sealed";
constexpr const char *acknowledgedKind = "acknowledged";

std::int64_t toMilliseconds(core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

struct RecordContentEncoder
{
    value &body;

    void operator()(const core::StepOpened &opened) const
    {
        const core::StepSpec &spec = opened.spec;
        std::vector<value> prompts;
        for (const std::string &prompt : spec.prompts)
            prompts.push_back(value::string(prompt));
        this->body["prompts"] = value::array(std::move(prompts));
        this->body["group_size"] = value::number(spec.groupSize);
        this->body["max_tokens"] = value::number(spec.maxTokens);
        this->body["trainer_version"] = value::number(core::number(spec.trainerVersion));
        this->body["due_ms"] = value::number(toMilliseconds(spec.dueIn));
        if (spec.stalenessBound)
            this->body["staleness_bound"] = value::number(*spec.stalenessBound);
    }

    void operator()(const core::SamplesFinished &finished) const
    {
        this->body["count"] = value::number(static_cast<std::uint64_t>(finished.samples.size()));
    }

    void operator()(const core::BatchSealed &sealed) const
    {
        this->body["trainer_version"] = value::number(core::number(sealed.trainerVersion));
        this->body["digest"] = value::string(sealed.digest);
    }

    void operator()(const core::BatchAcknowledged &acknowledged) const
    {
        this->body["digest"] = value::string(acknowledged.digest);
    }
};

std::string encodeStepRecord(const core::StepRecord &record)
{
    value body = value::object();
    body["write_id"] = value::string(record.writeId);
    const auto leftMilliseconds = std::max<std::int64_t>(toMilliseconds(record.timeLeft), 0);
    body["left_ms"] = value::number(leftMilliseconds);
    body["kind"] = value::string(recordKind(record.content));
    std::visit(RecordContentEncoder{body}, record.content);
    return body.serialize();
}

std::string encodeStepIndex(const std::set<std::uint64_t> &openSteps)
{
    std::vector<value> steps;
    steps.reserve(openSteps.size());
    for (const std::uint64_t step : openSteps)
        steps.push_back(value::string(std::to_string(step)));
    value body = value::object();
    body["open"] = value::array(std::move(steps));
    return body.serialize();
}

core::StepSpec readStepSpec(JsonReader &reader, const value &json, const core::StepId &id)
{
    core::StepSpec spec;
    spec.id = id;
    spec.prompts = reader.readStrings("prompts");
    spec.groupSize = static_cast<std::uint32_t>(reader.readNumber("group_size"));
    spec.maxTokens = static_cast<std::uint32_t>(reader.readNumber("max_tokens"));
    spec.trainerVersion = core::WeightVersion{reader.readNumber("trainer_version")};
    spec.dueIn = reader.readMilliseconds("due_ms", {});
    if (json.has_field("staleness_bound"))
        spec.stalenessBound = reader.readNumber("staleness_bound");
    return spec;
}

core::StepRecordContent readRecordContent(JsonReader &reader, const value &json,
                                          const core::StepId &id)
{
    const std::string kind = reader.readString("kind");
    if (kind == openedKind)
        return core::StepOpened{readStepSpec(reader, json, id)};
    if (kind == samplesKind)
        return core::SamplesFinished{};
    if (kind == sealedKind)
        return core::BatchSealed{core::WeightVersion{reader.readNumber("trainer_version")},
                                 reader.readString("digest")};
    if (kind != acknowledgedKind)
        reader.report("kind", "is unknown", "a kind of record");
    return core::BatchAcknowledged{reader.readString("digest")};
}

} // namespace

const char *recordKind(const core::StepRecordContent &content)
{
    struct Visitor
    {
        const char *operator()(const core::StepOpened &) const { return openedKind; }
        const char *operator()(const core::SamplesFinished &) const { return samplesKind; }
        const char *operator()(const core::BatchSealed &) const { return sealedKind; }
        const char *operator()(const core::BatchAcknowledged &) const { return acknowledgedKind; }
    };
    return std::visit(Visitor{}, content);
}

std::string stepIndexKey(const core::TrainerName &trainer)
{
    return "steps/" + trainer.value;
}

core::Result<std::set<std::uint64_t>> decodeStepIndex(const std::string &text)
{
    Problems problems;
    const value json = detail::parseJson(text, problems);
    JsonReader reader(json, "", problems);
    std::set<std::uint64_t> steps;
    for (const std::string &step : reader.readStrings("open")) {
        const bool isNumber =
                !step.empty() && step.find_first_not_of("0123456789") == std::string::npos;
        if (!isNumber)
            return make_error_code(Errc::SchemaMismatch);
        steps.insert(std::strtoull(step.c_str(), nullptr, 10));
    }
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return steps;
}

std::string stepRowPrefix(const core::StepId &id)
{
    return fmt::format("steps/{}/{}/", id.trainer.value, id.step);
}

std::string stepRowKey(const core::StepId &id, std::uint64_t number)
{
    return fmt::format("{}{:08}", stepRowPrefix(id), number);
}

std::string samplesPath(const core::StepId &id, const std::string &writeId)
{
    return fmt::format("/objects/{}{}", stepRowPrefix(id), writeId);
}

TableTransaction appendTransaction(const core::AppendRecord &append)
{
    TableTransaction transaction;
    const std::string key = stepRowKey(append.id, append.recordNumber);
    transaction.checks.push_back({key, 0});
    if (append.fence)
        transaction.checks.push_back(fenceCheck(append.shard, *append.fence));
    transaction.writes.push_back({key, encodeStepRecord(append.record)});
    if (append.openSteps)
        transaction.writes.push_back(
                {stepIndexKey(append.id.trainer), encodeStepIndex(*append.openSteps)});
    return transaction;
}

core::Result<core::StepRecord> decodeStepRecord(const std::string &text, const core::StepId &id)
{
    Problems problems;
    const value json = detail::parseJson(text, problems);
    if (!json.is_object())
        return make_error_code(Errc::SchemaMismatch);
    JsonReader reader(json, "", problems);
    core::StepRecord record;
    record.writeId = reader.readString("write_id");
    record.timeLeft = reader.readMilliseconds("left_ms", {});
    record.content = readRecordContent(reader, json, id);
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return record;
}

} // namespace geraniumpulley::codec
