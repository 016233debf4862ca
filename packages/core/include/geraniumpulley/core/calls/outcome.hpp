#pragma once

#include <string_view>

namespace geraniumpulley::core {

/// Whether a request was executed, over all of its attempts.
enum class Outcome {
    Ran, ///< The target executed the request, and its answer is complete.
    NotRun, ///< No attempt of the request was executed, and none is in progress.
    Unknown, ///< An attempt may have been executed.
};

/// Why a request has its outcome.
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
    Quarantined, ///< Targets have crashed while they ran equal requests.
};

/// \return the name used in headers, bodies and logs, such as "not_run".
std::string_view nameOf(Outcome outcome);
/// \return the name used in headers, bodies and logs, such as "deadline_passed".
std::string_view nameOf(Reason reason);

} // namespace geraniumpulley::core
