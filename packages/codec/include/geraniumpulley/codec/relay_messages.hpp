#pragma once

#include <geraniumpulley/core/http_header.hpp>
#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Messages by which a node that reaches no target sends requests through another one
/// (MessagePack).
namespace geraniumpulley::codec {

/// A request to a target, which the receiving node sends as it is.
struct RelayedAttempt
{
    std::string id; ///< Identifies the attempt for `RelayCancel`; unique in the deployment.
    std::string address; ///< Of the target, as "ip:port".
    std::string method;
    std::string target; ///< Path and query.
    std::string host;
    std::string requestId;
    std::string idHeader; ///< The header that carries the request id.
    std::vector<core::HttpHeader> headers;
    std::string body;
    core::Duration timeLeft{};
    bool reuseConnection = false;
};

/// The outcome of a relayed attempt.
struct RelayedAnswer
{
    enum class Delivery {
        Answered,
        NotSent, ///< No byte was sent to the target.
        AnswerLost,
    } delivery = Delivery::AnswerLost;
    bool closedByTarget = false;
    bool isSelfDelimited = true;
    std::uint32_t status = 0;
    std::vector<core::HttpHeader> headers;
    std::string body;
};

std::string encodeRelayedAttempt(const RelayedAttempt &attempt);
core::Result<RelayedAttempt> decodeRelayedAttempt(const std::string &bytes);
std::string encodeRelayedAnswer(const RelayedAnswer &answer);
core::Result<RelayedAnswer> decodeRelayedAnswer(const std::string &bytes);

} // namespace geraniumpulley::codec
