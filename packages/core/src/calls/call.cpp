#include <geraniumpulley/core/calls/call.hpp>

namespace geraniumpulley::core {

std::uint32_t statusOf(Reason reason)
{
    switch (reason) {
    case Reason::Served:
        return 200;
    case Reason::BadRequest:
    case Reason::KeyRequired:
        return 400;
    case Reason::UnknownService:
        return 404;
    case Reason::AnswerPending:
        return 409;
    case Reason::KeyExpired:
    case Reason::AnswerNotKept:
        return 410;
    case Reason::KeyReused:
        return 422;
    case Reason::QueueFull:
    case Reason::CustomerLimit:
        return 429;
    case Reason::ConnectFailed:
    case Reason::AnswerLost:
    case Reason::AnswerMalformed:
    case Reason::PeerLost:
    case Reason::Quarantined:
        return 502;
    case Reason::NoTarget:
    case Reason::NotReady:
    case Reason::Draining:
    case Reason::StoreUnavailable:
    case Reason::OwnerChanged:
        return 503;
    case Reason::DeadlinePassed:
        return 504;
    }
    return 500;
}

CallAnswer makeNotRunAnswer(Reason reason)
{
    return {Outcome::NotRun, reason, statusOf(reason), {}, {}};
}

CallAnswer makeUnknownAnswer(Reason reason)
{
    return {Outcome::Unknown, reason, statusOf(reason), {}, {}};
}

CallAnswer makeRefusalAnswer(const CallAttempt &attempt, bool repeatable, Reason reason, Time now)
{
    const bool isOnlyAttempt = attempt.call.idempotencyKey.empty() && repeatable;
    const bool isFirstAttempt = attempt.call.firstAttempt && now < attempt.deadline;
    return isOnlyAttempt || isFirstAttempt ? makeNotRunAnswer(reason) : makeUnknownAnswer(reason);
}

} // namespace geraniumpulley::core
