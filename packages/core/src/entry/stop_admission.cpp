#include <geraniumpulley/core/entry/stop_admission.hpp>

namespace geraniumpulley::core {
namespace {

// A slower answer counts at once, a faster one by a small part, so that the value stays close to
// the slowest of the recent answers.
constexpr int decayDivisor = 16;
// An answer may take longer than recent ones, for example because its target is busier.
constexpr int safetyFactor = 2;

} // namespace

void recordAnswerTime(AnswerTimes &times, const ServiceName &service, Duration taken)
{
    Duration &slow = times.slowAnswers.try_emplace(service, taken).first->second;
    slow = taken > slow ? taken : slow - (slow - taken) / decayDivisor;
}

bool isFinishableBy(const AnswerTimes &times, const StoppingRequest &request, Time answersDueAt,
                    Time now)
{
    if (request.deadline <= answersDueAt)
        return true;
    if (request.isStream || !request.isRepeatable)
        return false;
    const auto slow = times.slowAnswers.find(request.service);
    return slow != times.slowAnswers.end() && now + slow->second * safetyFactor <= answersDueAt;
}

} // namespace geraniumpulley::core
