#pragma once

#include <geraniumpulley/core/calls/outcome.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <string>

/// Application calls and their answers, as every part of the system passes them on.
namespace geraniumpulley::core {

/// One application call, as its caller gave it.
struct Call
{
    ServiceName service;
    std::string customer;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey; ///< Empty when the caller gave none.
    bool firstAttempt = false; ///< The caller states that no other attempt of the key exists.
};

/// What a caller gets back.
struct CallAnswer
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::AnswerLost;
    std::uint32_t status = 0; ///< HTTP status of the target where it ran, else of the system.
    std::string contentType;
    std::string body;

    auto operator<=>(const CallAnswer &) const = default;
};

/// One attempt of a call that waits for its answer.
struct CallAttempt
{
    ReplyToken reply{};
    Call call;
    Time deadline{};
    bool forwarded = false; ///< The asker is another node, not a caller's connection.
};

/// \return the HTTP status of an answer that the system itself gives.
std::uint32_t statusOf(Reason reason);

/// \return an answer that says that no attempt of the request ran.
CallAnswer answerNotRun(Reason reason);

/// \return an answer that says that some attempt of the request may have run.
CallAnswer answerUnknown(Reason reason);

/// Refuses an attempt where the request's other attempts cannot be looked up.
/// \return "not run" only where the request cannot have another attempt: it has no key and may be
/// repeated, or its caller states that this is the first and still waits; else "unknown".
CallAnswer refuseAttempt(const CallAttempt &attempt, bool repeatable, Reason reason, Time now);

} // namespace geraniumpulley::core
