#include <geraniumpulley/codec/trainer_messages.hpp>

#include <geraniumpulley/codec/detail/json_reader.hpp>
#include <geraniumpulley/codec/error.hpp>

#include <utility>

namespace geraniumpulley::codec {
namespace {

using detail::JsonReader;
using web::json::value;

constexpr std::uint64_t maxGroupSize = 8192;
constexpr std::uint64_t maxStalenessBound = 1'000'000;
constexpr std::size_t maxStepSamples = 65'536;
constexpr core::Duration minDueIn = std::chrono::seconds(1);
constexpr std::uint64_t maxTokensLimit = 1'000'000;

value encodeSpan(const core::VersionSpan &span)
{
    value encoded = value::object();
    encoded["version"] = value::number(core::number(span.version));
    encoded["incarnation"] = value::string(span.incarnation);
    encoded["first"] = value::number(span.first);
    encoded["last"] = value::number(span.last);
    return encoded;
}

core::VersionSpan readSpan(JsonReader &reader)
{
    core::VersionSpan span;
    span.version = core::WeightVersion{reader.readNumber("version")};
    span.incarnation = reader.readString("incarnation");
    span.first = reader.readNumber("first");
    span.last = reader.readNumber("last");
    return span;
}

value encodeSample(const core::SampleSlot &slot, const core::Sample &sample)
{
    std::vector<value> spans;
    for (const core::VersionSpan &span : sample.spans)
        spans.push_back(encodeSpan(span));
    value encoded = value::object();
    encoded["group"] = value::number(slot.group);
    encoded["index"] = value::number(slot.index);
    encoded["text"] = value::string(sample.text);
    encoded["reward"] = value::number(sample.reward);
    encoded["spans"] = value::array(std::move(spans));
    return encoded;
}

} // namespace

ParsedStepSpec parseStepSpec(const std::string &body)
{
    ParsedStepSpec parsed;
    const value json = detail::parseJson(body, parsed.problems);
    if (!parsed.problems.empty())
        return parsed;
    JsonReader reader(json, "", parsed.problems);
    core::StepSpec &spec = parsed.spec;
    spec.id.trainer.value = reader.readString("trainer");
    spec.id.step = reader.readNumber("step");
    spec.prompts = reader.readStrings("prompts");
    spec.groupSize = static_cast<std::uint32_t>(reader.readNumber("group_size", {1, maxGroupSize}));
    spec.maxTokens = static_cast<std::uint32_t>(
            reader.readNumber("max_tokens", {1, maxTokensLimit}, spec.maxTokens));
    spec.trainerVersion = core::WeightVersion{reader.readNumber("trainer_version")};
    spec.dueIn = reader.readMilliseconds("due_ms", minDueIn, spec.dueIn);
    if (json.is_object() && json.has_field("staleness_bound"))
        spec.stalenessBound = reader.readNumber("staleness_bound", {0, maxStalenessBound});
    if (spec.prompts.size() * spec.groupSize > maxStepSamples)
        reader.report("prompts", "make too many samples",
                      "prompts times group_size up to 65536; open several steps");
    if (spec.prompts.empty())
        reader.report("prompts", "is empty", "one prompt or more");
    reader.reportUnknownKeys();
    return parsed;
}

core::Result<std::string> decodeAcknowledgement(const std::string &body)
{
    detail::Problems problems;
    const value json = detail::parseJson(body, problems);
    JsonReader reader(json, "", problems);
    std::string digest = reader.readString("digest");
    reader.reportUnknownKeys();
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return digest;
}

std::string encodeSamples(const std::vector<std::pair<core::SampleSlot, core::Sample>> &samples)
{
    std::vector<value> encoded;
    encoded.reserve(samples.size());
    for (const auto &[slot, sample] : samples)
        encoded.push_back(encodeSample(slot, sample));
    value body = value::object();
    body["samples"] = value::array(std::move(encoded));
    return body.serialize();
}

core::Result<std::vector<std::pair<core::SampleSlot, core::Sample>>>
decodeSamples(const std::string &body, const core::StepId &id)
{
    detail::Problems problems;
    const value json = detail::parseJson(body, problems);
    std::vector<std::pair<core::SampleSlot, core::Sample>> samples;
    JsonReader reader(json, "", problems);
    reader.readObjects("samples", [&](JsonReader &entry) {
        core::Sample sample;
        const auto group = static_cast<std::uint32_t>(entry.readNumber("group"));
        const auto index = static_cast<std::uint32_t>(entry.readNumber("index"));
        sample.text = entry.readString("text");
        sample.reward = entry.readReal("reward");
        entry.readObjects("spans",
                          [&](JsonReader &span) { sample.spans.push_back(readSpan(span)); });
        samples.emplace_back(core::SampleSlot{id, group, index}, std::move(sample));
    });
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return samples;
}

std::string encodeStepAnswer(const core::StepAnswer &answer)
{
    value body = value::object();
    body["state"] = value::string(nameOf(answer.verdict));
    body["finished"] = value::number(answer.finished);
    body["total"] = value::number(answer.total);
    body["discarded"] = value::number(answer.discarded);
    body["durable"] = value::boolean(answer.durable);
    if (!answer.detail.empty())
        body["detail"] = value::string(answer.detail);
    if (answer.verdict == core::StepVerdict::Ready) {
        std::vector<value> samples;
        for (const auto &[slot, sample] : answer.samples)
            samples.push_back(encodeSample(slot, sample));
        body["samples"] = value::array(std::move(samples));
        body["digest"] = value::string(answer.digest);
    }
    return body.serialize();
}

const char *nameOf(core::StepVerdict verdict)
{
    switch (verdict) {
    case core::StepVerdict::Running:
        return "running";
    case core::StepVerdict::Ready:
        return "ready";
    case core::StepVerdict::Acknowledged:
        return "acknowledged";
    case core::StepVerdict::Differs:
        return "differs";
    case core::StepVerdict::UnknownStep:
        return "unknown_step";
    case core::StepVerdict::UnknownTrainer:
        return "unknown_trainer";
    case core::StepVerdict::NotReady:
        return "not_ready";
    case core::StepVerdict::OwnerLost:
        return "owner_lost";
    case core::StepVerdict::Stale:
        return "stale";
    case core::StepVerdict::WrongDigest:
        return "wrong_digest";
    }
    return "unknown";
}

} // namespace geraniumpulley::codec
