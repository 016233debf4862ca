#include <geraniumpulley/core/calls/crash_log.hpp>

#include <xxhash.h>

#include <algorithm>
#include <memory>

namespace geraniumpulley::core {
namespace {

bool isExplainedByOther(const CrashLog &log, const RequestDigest &request,
                        const TargetIncarnation &crash, std::size_t crashes)
{
    return std::any_of(log.begin(), log.end(), [&](const auto &entry) {
        const auto &[other, othersCrashes] = entry;
        return other != request && othersCrashes.size() >= crashes
               && othersCrashes.count(crash) != 0;
    });
}

} // namespace

RequestDigest digestOf(std::initializer_list<std::string_view> parts)
{
    // The length before each part distinguishes ("ab", "c") from ("a", "bc").
    const std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t *)> state(XXH3_createState(),
                                                                                 XXH3_freeState);
    XXH3_128bits_reset(state.get());
    for (const std::string_view part : parts) {
        const std::string length = std::to_string(part.size()) + ":";
        XXH3_128bits_update(state.get(), length.data(), length.size());
        XXH3_128bits_update(state.get(), part.data(), part.size());
    }
    const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bitsPerDigit = 4;
    constexpr unsigned wordBits = 64;
    std::string text;
    for (const XXH64_hash_t word : {hash.high64, hash.low64}) {
        for (unsigned shift = wordBits; shift > 0; shift -= bitsPerDigit)
            text += digits[(word >> (shift - bitsPerDigit)) & (digits.size() - 1)];
    }
    return {text};
}

CrashJudgement judge(const CrashLog &log, const RequestDigest &request, Duration storeTime,
                     const CrashSettings &settings)
{
    const auto position = log.find(request);
    if (position == log.end() || position->second.empty())
        return {};
    const CrashesOfRequest &crashes = position->second;
    CrashJudgement judgement{CrashVerdict::Suspected, crashes.size(), {}};
    std::size_t ownCrashes = 0;
    Duration lastExpiry{};
    for (const auto &[crash, expiresAt] : crashes) {
        if (!isExplainedByOther(log, request, crash, crashes.size()))
            ++ownCrashes;
        lastExpiry = std::max(lastExpiry, expiresAt);
    }
    if (ownCrashes >= settings.quarantineThreshold || crashes.size() >= settings.maxCrashes) {
        judgement.verdict = CrashVerdict::Quarantined;
        return judgement;
    }
    const Duration pauseEnd = lastExpiry - settings.retention + settings.retryPause;
    const bool isClockKnown = storeTime > Duration{};
    if (ownCrashes >= settings.pauseThreshold && isClockKnown && storeTime < pauseEnd) {
        judgement.verdict = CrashVerdict::Paused;
        judgement.pauseLeft = std::min(pauseEnd - storeTime, settings.retryPause);
    }
    return judgement;
}

} // namespace geraniumpulley::core
