#pragma once

#include <string_view>

namespace geraniumpulley::core {

/// What is known about the run of a request, over all of its attempts.
enum class Outcome {
    Ran, ///< The target ran it and its whole answer is here.
    NotRun, ///< No attempt of this request ran, and none is under way.
    Unknown, ///< Some attempt may have run.
};

/// Why the system gave an outcome.
enum class Reason {
    Served,
    UnknownService,
    NoTarget,
    DeadlinePassed,
    QueueFull,
    ConnectFailed,
    AnswerLost,
    AnswerMalformed,
    PeerLost,
    NotReady,
    Draining,
    BadRequest,
    StoreUnavailable,
    KeyRequired,
    KeyExpired,
    AnswerPending,
    OwnerChanged,
    KeyReused,
    AnswerNotKept,
    CustomerLimit,
};

/// \return the name that headers, bodies and logs carry, such as "not_run".
std::string_view nameOf(Outcome outcome);
/// \return the name that headers, bodies and logs carry, such as "deadline_passed".
std::string_view nameOf(Reason reason);

} // namespace geraniumpulley::core
