#include <geraniumpulley/codec/configuration_text.hpp>

#include <geraniumpulley/codec/detail/json_reader.hpp>

#include <algorithm>
#include <utility>

namespace geraniumpulley::codec {
namespace {

using detail::JsonReader;

constexpr core::Duration minTimeout = std::chrono::milliseconds(1);

core::ServiceKind readServiceKind(JsonReader &reader)
{
    const std::string kind = reader.readString("kind", "plain");
    if (kind == "model")
        return core::ServiceKind::Model;
    if (kind == "scorer")
        return core::ServiceKind::Scorer;
    if (kind != "plain")
        reader.report("kind", "'" + kind + "' is not a kind", "model, plain or scorer");
    return core::ServiceKind::Plain;
}

core::MissingKeyPolicy readMissingKeyPolicy(JsonReader &reader)
{
    const std::string policy = reader.readString("without_key", "refuse");
    if (policy == "derive")
        return core::MissingKeyPolicy::Derive;
    if (policy != "refuse")
        reader.report("without_key", "'" + policy + "' is not a rule", "refuse or derive");
    return core::MissingKeyPolicy::Refuse;
}

core::CallRule readCallRule(JsonReader &reader)
{
    core::CallRule rule;
    rule.method = reader.readString("method");
    rule.pathPrefix = reader.readString("path");
    rule.repeatable = reader.readBool("repeatable");
    rule.priority = static_cast<std::uint32_t>(reader.readNumber("priority", {0, 100}, 0));
    return rule;
}

core::Service readService(JsonReader &reader)
{
    core::Service service;
    service.name.value = reader.readString("name");
    service.kind = readServiceKind(reader);
    for (std::string &name : reader.readStrings("depends_on"))
        service.dependsOn.push_back({std::move(name)});
    reader.readObjects("calls",
                       [&](JsonReader &rule) { service.callRules.push_back(readCallRule(rule)); });
    service.maxInFlight = static_cast<std::uint32_t>(
            reader.readNumber("max_in_flight", {1, 100'000}, service.maxInFlight));
    service.timeout = reader.readMilliseconds("timeout_ms", minTimeout, service.timeout);
    service.missingKeyPolicy = readMissingKeyPolicy(reader);
    service.minServingPercent = static_cast<std::uint32_t>(
            reader.readNumber("min_serving_percent", {0, 99}, service.minServingPercent));
    service.maxConcurrentWeightLoads = static_cast<std::uint32_t>(reader.readNumber(
            "weight_loads_at_once", {1, 10'000}, service.maxConcurrentWeightLoads));
    service.checksFencing = reader.readBool("checks_fencing", service.checksFencing);
    service.maxQueued = static_cast<std::uint32_t>(
            reader.readNumber("max_queued", {0, 100'000}, service.maxQueued));
    const std::uint64_t defaultReserve = std::min(service.callReserve, service.maxInFlight - 1);
    service.callReserve = static_cast<std::uint32_t>(
            reader.readNumber("call_reserve", {0, 100'000}, defaultReserve));
    return service;
}

core::Trainer readTrainer(JsonReader &reader)
{
    core::Trainer trainer;
    trainer.name.value = reader.readString("name");
    trainer.model.value = reader.readString("model");
    trainer.scorer.value = reader.readString("scorer");
    trainer.weight =
            static_cast<std::uint32_t>(reader.readNumber("weight", {1, 1000}, trainer.weight));
    trainer.stalenessBound =
            reader.readNumber("staleness_bound", {0, 1000}, trainer.stalenessBound);
    return trainer;
}

} // namespace

ParsedConfiguration parseConfiguration(const std::string &text)
{
    ParsedConfiguration parsed;
    const web::json::value value = detail::parseJson(text, parsed.problems);
    if (!parsed.problems.empty())
        return parsed;
    JsonReader reader(value, "", parsed.problems);
    parsed.configuration.deployment = reader.readString("deployment");
    reader.readObjects("services", [&](JsonReader &service) {
        parsed.configuration.services.push_back(readService(service));
    });
    reader.readObjects("trainers", [&](JsonReader &trainer) {
        parsed.configuration.trainers.push_back(readTrainer(trainer));
    });
    reader.reportUnknownKeys();
    if (parsed.problems.empty())
        parsed.problems = core::validate(parsed.configuration);
    return parsed;
}

} // namespace geraniumpulley::codec
