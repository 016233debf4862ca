#pragma once

#include <geraniumpulley/core/fleet/routing_table.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <map>

/// Admission of requests at a node in a planned stop: only those that it can finish.
namespace geraniumpulley::core {

/// How long the slower answers of each service have taken lately.
struct AnswerTimes
{
    std::map<ServiceName, Duration> slowAnswers;
};

/// Records the time from a request to its complete answer.
void recordAnswerTime(AnswerTimes &times, const ServiceName &service, Duration taken);

/// What decides whether a stopping node takes a request.
struct StoppingRequest
{
    ServiceName service;
    bool isStream = false;
    bool isRepeatable = false;
    Time deadline{}; ///< The earlier one of the client's and of the route's.
};

/// \return whether the request has its answer before a planned stop ends. A stream, whose length
/// earlier ones do not tell, and a request that must not be repeated have to end by their deadline;
/// other requests are expected to take about as long as others of their service.
bool isFinishableBy(const AnswerTimes &times, const StoppingRequest &request, Time answersDueAt,
                    Time now);

} // namespace geraniumpulley::core
