#pragma once

#include <geraniumpulley/core/calls/outcome.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <string>

/// Application calls and their answers, as passed between the parts of the system.
namespace geraniumpulley::core {

/// One application call as its caller sent it.
struct Call
{
    ServiceName service;
    std::string customer;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey; ///< The caller's key, or empty.
    bool firstAttempt = false; ///< The caller states that the key has no other attempt.
};

/// The answer that a caller receives.
struct CallAnswer
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::AnswerLost;
    std::uint32_t status = 0; ///< HTTP status of the target if the call ran, else of the system.
    std::string contentType;
    std::string body;

    auto operator<=>(const CallAnswer &) const = default;
};

/// One attempt of a call, whose sender waits for the answer.
struct CallAttempt
{
    ReplyToken reply{};
    Call call;
    Time deadline{};
    bool forwarded = false; ///< The attempt came from another node, not from a caller.
};

/// \return the HTTP status of an answer that the system itself generates.
std::uint32_t statusOf(Reason reason);

/// \return an answer stating that no attempt of the request ran.
CallAnswer makeNotRunAnswer(Reason reason);

/// \return an answer stating that an attempt of the request may have run.
CallAnswer makeUnknownAnswer(Reason reason);

/// Makes the answer that refuses an attempt when the request's other attempts cannot be looked up.
/// \return "not run" only where the request cannot have another attempt: it has no key and may be
/// repeated, or its caller states that this is the first attempt and still waits; otherwise
/// "unknown".
CallAnswer makeRefusalAnswer(const CallAttempt &attempt, bool repeatable, Reason reason, Time now);

} // namespace geraniumpulley::core
