#include <geraniumpulley/core/calls/outcome.hpp>

namespace geraniumpulley::core {

std::string_view nameOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view nameOf(Reason reason)
{
    switch (reason) {
    case Reason::Served:
        return "served";
    case Reason::UnknownService:
        return "unknown_service";
    case Reason::NoTarget:
        return "no_target";
    case Reason::DeadlinePassed:
        return "deadline_passed";
    case Reason::QueueFull:
        return "queue_full";
    case Reason::ConnectFailed:
        return "connect_failed";
    case Reason::AnswerLost:
        return "answer_lost";
    case Reason::AnswerMalformed:
        return "answer_malformed";
    case Reason::PeerLost:
        return "peer_lost";
    case Reason::NotReady:
        return "not_ready";
    case Reason::Draining:
        return "draining";
    case Reason::BadRequest:
        return "bad_request";
    case Reason::StoreUnavailable:
        return "store_unavailable";
    case Reason::KeyRequired:
        return "key_required";
    case Reason::KeyExpired:
        return "key_expired";
    case Reason::AnswerPending:
        return "answer_pending";
    case Reason::OwnerChanged:
        return "owner_changed";
    case Reason::KeyReused:
        return "key_reused";
    case Reason::AnswerNotKept:
        return "answer_not_kept";
    case Reason::CustomerLimit:
        return "customer_limit";
    case Reason::Quarantined:
        return "quarantined";
    }
    return "unknown";
}

} // namespace geraniumpulley::core
