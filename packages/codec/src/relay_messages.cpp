#include <geraniumpulley/codec/relay_messages.hpp>

#include "message_pack.hpp"

#include <geraniumpulley/codec/error.hpp>
#include <geraniumpulley/core/http_status.hpp>

#include <tuple>
#include <utility>

namespace geraniumpulley::codec {
namespace {

using HeadersWire = std::vector<std::tuple<std::string, std::string>>;
using AttemptWire =
        std::tuple<std::string, std::string, std::string, std::string, std::string, std::string,
                   std::string, HeadersWire, std::string, std::int64_t, bool>;
using AnswerWire = std::tuple<int, bool, bool, std::uint32_t, HeadersWire, std::string>;

HeadersWire toWire(const std::vector<core::HttpHeader> &headers)
{
    HeadersWire wire;
    for (const core::HttpHeader &header : headers)
        wire.emplace_back(header.name, header.value);
    return wire;
}

std::vector<core::HttpHeader> fromWire(HeadersWire &&wire)
{
    std::vector<core::HttpHeader> headers;
    for (auto &[name, value] : wire)
        headers.push_back({std::move(name), std::move(value)});
    return headers;
}

} // namespace

std::string encodeRelayedAttempt(const RelayedAttempt &attempt)
{
    return detail::pack(AttemptWire{attempt.id, attempt.address, attempt.method, attempt.target,
                                    attempt.host, attempt.requestId, attempt.idHeader,
                                    toWire(attempt.headers), attempt.body, attempt.timeLeft.count(),
                                    attempt.reuseConnection});
}

core::Result<RelayedAttempt> decodeRelayedAttempt(const std::string &bytes)
{
    auto wire = detail::unpack<AttemptWire>(bytes);
    if (!wire)
        return wire.error();
    auto &[id, address, method, target, host, requestId, idHeader, headers, body, timeLeft, reuse] =
            wire.value();
    return RelayedAttempt{std::move(id),
                          std::move(address),
                          std::move(method),
                          std::move(target),
                          std::move(host),
                          std::move(requestId),
                          std::move(idHeader),
                          fromWire(std::move(headers)),
                          std::move(body),
                          core::Duration(timeLeft),
                          reuse};
}

std::string encodeRelayedAnswer(const RelayedAnswer &answer)
{
    return detail::pack(AnswerWire{static_cast<int>(answer.delivery), answer.closedByTarget,
                                   answer.isSelfDelimited, answer.status, toWire(answer.headers),
                                   answer.body});
}

core::Result<RelayedAnswer> decodeRelayedAnswer(const std::string &bytes)
{
    auto wire = detail::unpack<AnswerWire>(bytes);
    if (!wire)
        return wire.error();
    auto &[delivery, closedByTarget, isSelfDelimited, status, headers, body] = wire.value();
    const bool isAnswered = delivery == static_cast<int>(RelayedAnswer::Delivery::Answered);
    if (delivery < 0 || delivery > static_cast<int>(RelayedAnswer::Delivery::AnswerLost)
        || (isAnswered && !core::status::isFinal(status)))
        return make_error_code(Errc::SchemaMismatch);
    return RelayedAnswer{static_cast<RelayedAnswer::Delivery>(delivery),
                         closedByTarget,
                         isSelfDelimited,
                         status,
                         fromWire(std::move(headers)),
                         std::move(body)};
}

} // namespace geraniumpulley::codec
