#include <geraniumpulley/codec/peer_messages.hpp>

#include "answer_status.hpp"
#include "message_pack.hpp"

#include <geraniumpulley/codec/error.hpp>

#include <tuple>
#include <utility>

namespace geraniumpulley::codec {
namespace {

using detail::pack;
using detail::unpack;

// Each struct is encoded as a tuple of plain values, so that the structs of core need no
// MessagePack macros.
using CallWire = std::tuple<std::string, std::string, std::string, std::string, std::string,
                            std::string, std::string, std::int64_t, bool>;
using CallAnswerWire = std::tuple<int, int, std::uint32_t, std::string, std::string>;
using StepRequestWire =
        std::tuple<std::uint64_t, std::string, std::uint64_t, std::vector<std::string>,
                   std::uint32_t, std::uint32_t, std::uint64_t, std::int64_t, std::int64_t,
                   std::int64_t, std::string>;
using SpanWire = std::tuple<std::uint64_t, std::string, std::uint64_t, std::uint64_t>;
using SampleWire = std::tuple<std::string, std::uint64_t, std::uint32_t, std::uint32_t, std::string,
                              double, std::vector<SpanWire>>;
using StepAnswerWire = std::tuple<int, std::uint64_t, std::uint64_t, std::vector<SampleWire>,
                                  std::string, std::string, std::uint64_t, bool>;

constexpr std::int64_t noStalenessBound = -1;

SampleWire toWire(const core::SampleSlot &slot, const core::Sample &sample)
{
    std::vector<SpanWire> spans;
    for (const core::VersionSpan &span : sample.spans)
        spans.emplace_back(core::number(span.version), span.incarnation, span.first, span.last);
    return {slot.step.trainer.value, slot.step.step,  slot.group, slot.index, sample.text,
            sample.reward,           std::move(spans)};
}

std::pair<core::SampleSlot, core::Sample> fromWire(const SampleWire &wire)
{
    const auto &[trainer, step, group, index, text, reward, spans] = wire;
    core::Sample sample{text, {}, reward};
    for (const auto &[version, incarnation, first, last] : spans)
        sample.spans.push_back({core::WeightVersion{version}, incarnation, first, last});
    return {core::SampleSlot{{{trainer}, step}, group, index}, std::move(sample)};
}

} // namespace

std::string encodePeer(const ForwardedCall &forwarded)
{
    const core::Call &call = forwarded.call;
    return pack(CallWire{call.service.value, call.customer, call.method, call.path,
                         call.contentType, call.body, call.idempotencyKey,
                         forwarded.timeLeft.count(), call.firstAttempt});
}

std::string encodePeer(const core::CallAnswer &answer)
{
    return pack(CallAnswerWire{static_cast<int>(answer.outcome), static_cast<int>(answer.reason),
                               answer.status, answer.contentType, answer.body});
}

std::string encodePeer(const core::StepRequest &request)
{
    const core::StepId &id = core::stepOf(request);
    StepRequestWire wire{request.index(), id.trainer.value, id.step, {}, 0, 0, 0, 0, 0, 0, {}};
    if (const auto *open = std::get_if<core::OpenStep>(&request)) {
        const core::StepSpec &spec = open->spec;
        std::get<3>(wire) = spec.prompts;
        std::get<4>(wire) = spec.groupSize;
        std::get<5>(wire) = spec.maxTokens;
        std::get<6>(wire) = core::number(spec.trainerVersion);
        std::get<7>(wire) = spec.dueIn.count();
        std::get<8>(wire) = spec.stalenessBound ? static_cast<std::int64_t>(*spec.stalenessBound)
                                                : noStalenessBound;
    } else if (const auto *fetch = std::get_if<core::FetchStep>(&request)) {
        std::get<6>(wire) = core::number(fetch->trainerVersion);
        std::get<9>(wire) = fetch->maxWait.count();
    } else {
        std::get<10>(wire) = std::get<core::AcknowledgeStep>(request).digest;
    }
    return pack(wire);
}

std::string encodePeer(const core::StepAnswer &answer)
{
    std::vector<SampleWire> samples;
    for (const auto &[slot, sample] : answer.samples)
        samples.push_back(toWire(slot, sample));
    return pack(StepAnswerWire{static_cast<int>(answer.verdict), answer.finished, answer.total,
                               std::move(samples), answer.digest, answer.detail, answer.discarded,
                               answer.durable});
}

core::Result<ForwardedCall> decodeForwardedCall(const std::string &bytes)
{
    auto wire = unpack<CallWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[service, customer, method, path, contentType, body, idempotencyKey, timeLeft,
                 firstAttempt] = wire.value();
    return ForwardedCall{
            {{service}, customer, method, path, contentType, body, idempotencyKey, firstAttempt},
            core::Duration(timeLeft)};
}

core::Result<core::CallAnswer> decodeCallAnswer(const std::string &bytes)
{
    auto wire = unpack<CallAnswerWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[outcome, reason, status, contentType, body] = wire.value();
    const bool isValid = outcome >= 0 && outcome <= static_cast<int>(core::Outcome::Unknown)
                         && reason >= 0 && reason <= static_cast<int>(core::Reason::Quarantined);
    if (!isValid)
        return make_error_code(Errc::SchemaMismatch);
    return checkStatus({static_cast<core::Outcome>(outcome), static_cast<core::Reason>(reason),
                        status, contentType, body});
}

core::Result<core::StepRequest> decodeStepRequest(const std::string &bytes)
{
    auto wire = unpack<StepRequestWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[kind, trainer, stepNumber, prompts, groupSize, maxTokens, version, dueIn,
                 stalenessBound, maxWait, digest] = wire.value();
    const core::StepId id{{trainer}, stepNumber};
    switch (kind) {
    case 0: {
        core::StepSpec spec{id, prompts, groupSize, maxTokens, core::WeightVersion{version}};
        spec.dueIn = core::Duration(dueIn);
        if (stalenessBound != noStalenessBound)
            spec.stalenessBound = static_cast<std::uint64_t>(stalenessBound);
        return core::StepRequest{core::OpenStep{std::move(spec)}};
    }
    case 1:
        return core::StepRequest{
                core::FetchStep{id, core::WeightVersion{version}, core::Duration(maxWait)}};
    case 2:
        return core::StepRequest{core::AcknowledgeStep{id, digest}};
    default:
        return make_error_code(Errc::SchemaMismatch);
    }
}

core::Result<core::StepAnswer> decodeStepAnswer(const std::string &bytes)
{
    auto wire = unpack<StepAnswerWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[verdict, finished, total, samples, digest, detail, discarded, durable] =
            wire.value();
    if (verdict < 0 || verdict > static_cast<int>(core::StepVerdict::WrongDigest))
        return make_error_code(Errc::SchemaMismatch);
    core::StepAnswer answer{static_cast<core::StepVerdict>(verdict),
                            finished,
                            total,
                            {},
                            digest,
                            detail,
                            discarded,
                            durable};
    for (const SampleWire &sample : samples)
        answer.samples.push_back(fromWire(sample));
    return answer;
}

} // namespace geraniumpulley::codec
