#pragma once

#include <geraniumpulley/core/calls/call.hpp>
#include <geraniumpulley/core/http_status.hpp>

namespace geraniumpulley::codec {

/// \return the answer, or, if a node that does not check them passes on a status that is none, that
/// the call may have run.
inline core::CallAnswer checkStatus(core::CallAnswer answer)
{
    if (answer.outcome != core::Outcome::Ran || core::status::isFinal(answer.status))
        return answer;
    return {core::Outcome::Unknown,
            core::Reason::AnswerMalformed,
            core::status::badGateway,
            {},
            {}};
}

} // namespace geraniumpulley::codec
