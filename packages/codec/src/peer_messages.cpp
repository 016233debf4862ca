#include <geraniumpulley/codec/peer_messages.hpp>

#include "message_pack.hpp"

#include <geraniumpulley/codec/configuration_text.hpp>
#include <geraniumpulley/codec/error.hpp>

#include <tuple>
#include <utility>

namespace geraniumpulley::codec {
namespace {

using detail::pack;
using detail::unpack;

// The wire form of each struct is a tuple of plain values, so that core's structs need no macros.
using NodeWire = std::tuple<std::string, std::string, std::string, std::uint64_t>;
using AnnouncementWire = std::tuple<NodeWire, std::uint64_t, std::vector<NodeWire>>;
using DocumentWire = std::tuple<std::uint64_t, std::string, std::string, std::string>;
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

NodeWire toWire(const core::Node &node)
{
    return {node.id.value, node.address, node.dataCentre, node.incarnation};
}

core::Node fromWire(const NodeWire &wire)
{
    return {{std::get<0>(wire)}, std::get<1>(wire), std::get<2>(wire), std::get<3>(wire)};
}

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

std::string encodePeer(const core::Announcement &announcement)
{
    std::vector<NodeWire> nodes;
    for (const core::Node &node : announcement.nodes)
        nodes.push_back(toWire(node));
    return pack(AnnouncementWire{toWire(announcement.sender), core::number(announcement.version),
                                 std::move(nodes)});
}

std::string encodePeer(const core::ConfigurationDocument &document)
{
    return pack(DocumentWire{core::number(document.version), document.submissionId, document.author,
                             document.text});
}

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
        const core::StepOrder &order = open->order;
        std::get<3>(wire) = order.prompts;
        std::get<4>(wire) = order.groupSize;
        std::get<5>(wire) = order.maxTokens;
        std::get<6>(wire) = core::number(order.trainerVersion);
        std::get<7>(wire) = order.due.count();
        std::get<8>(wire) = order.stalenessBound ? static_cast<std::int64_t>(*order.stalenessBound)
                                                 : noStalenessBound;
    } else if (const auto *fetch = std::get_if<core::FetchStep>(&request)) {
        std::get<6>(wire) = core::number(fetch->trainerVersion);
        std::get<9>(wire) = fetch->wait.count();
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

core::Result<core::Announcement> decodeAnnouncement(const std::string &bytes)
{
    auto wire = unpack<AnnouncementWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[sender, version, nodes] = wire.value();
    core::Announcement announcement{fromWire(sender), core::ConfigurationVersion{version}, {}};
    for (const NodeWire &node : nodes)
        announcement.nodes.push_back(fromWire(node));
    return announcement;
}

core::Result<core::ConfigurationDocument> decodeDocument(const std::string &bytes)
{
    auto wire = unpack<DocumentWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[version, submissionId, author, text] = wire.value();
    ParsedConfiguration parsed = parseConfiguration(text);
    if (!parsed.problems.empty())
        return make_error_code(Errc::WrongShape);
    return core::ConfigurationDocument{
            core::ConfigurationVersion{version}, submissionId, author, text,
            std::make_shared<const core::Configuration>(std::move(parsed.configuration))};
}

core::Result<ForwardedCall> decodeForwardedCall(const std::string &bytes)
{
    auto wire = unpack<CallWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[service, customer, method, path, contentType, body, key, timeLeft, isFirst] =
            wire.value();
    return ForwardedCall{{{service}, customer, method, path, contentType, body, key, isFirst},
                         core::Duration(timeLeft)};
}

core::Result<core::CallAnswer> decodeCallAnswer(const std::string &bytes)
{
    auto wire = unpack<CallAnswerWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[outcome, reason, status, contentType, body] = wire.value();
    const bool known = outcome >= 0 && outcome <= static_cast<int>(core::Outcome::Unknown)
                       && reason >= 0 && reason <= static_cast<int>(core::Reason::CustomerLimit);
    if (!known)
        return make_error_code(Errc::WrongShape);
    return core::CallAnswer{static_cast<core::Outcome>(outcome), static_cast<core::Reason>(reason),
                            status, contentType, body};
}

core::Result<core::StepRequest> decodeStepRequest(const std::string &bytes)
{
    auto wire = unpack<StepRequestWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[kind, trainer, number, prompts, groupSize, maxTokens, version, due, bound, wait,
                 digest] = wire.value();
    const core::StepId id{{trainer}, number};
    switch (kind) {
    case 0: {
        core::StepOrder order{id, prompts, groupSize, maxTokens, core::WeightVersion{version}};
        order.due = core::Duration(due);
        if (bound != noStalenessBound)
            order.stalenessBound = static_cast<std::uint64_t>(bound);
        return core::StepRequest{core::OpenStep{std::move(order)}};
    }
    case 1:
        return core::StepRequest{
                core::FetchStep{id, core::WeightVersion{version}, core::Duration(wait)}};
    case 2:
        return core::StepRequest{core::AcknowledgeStep{id, digest}};
    default:
        return make_error_code(Errc::WrongShape);
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
        return make_error_code(Errc::WrongShape);
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
