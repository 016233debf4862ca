#include <geraniumpulley/core/calls/crash_log.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

constexpr Duration now = 1h;
const CrashSettings settings;

CrashesOfRequest crashesAt(std::initializer_list<const char *> targets, Duration at = now)
{
    CrashesOfRequest crashes;
    for (const char *target : targets)
        crashes[{{target}, 1}] = at + settings.retention;
    return crashes;
}

CrashVerdict verdictOf(const CrashLog &log, const char *request, Duration at = now)
{
    return judge(log, {request}, at, settings).verdict;
}

} // namespace

TEST_CASE("a request is quarantined by its third crash and pauses after the second")
{
    CHECK(verdictOf({}, "poison") == CrashVerdict::Clear);
    CHECK(verdictOf({{{"poison"}, crashesAt({"a"})}}, "poison") == CrashVerdict::Suspected);
    const CrashLog two{{{"poison"}, crashesAt({"a", "b"})}};
    CHECK(verdictOf(two, "poison") == CrashVerdict::Paused);
    CHECK(verdictOf(two, "poison", now + settings.retryPause) == CrashVerdict::Suspected);
    CHECK(verdictOf({{{"poison"}, crashesAt({"a", "b", "c"})}}, "poison")
          == CrashVerdict::Quarantined);
    CHECK(verdictOf(two, "other") == CrashVerdict::Clear);
}

TEST_CASE("a sound request near two or three crashes of another request is not quarantined")
{
    const CrashLog log{{{"poison"}, crashesAt({"a", "b", "c", "d"})},
                       {{"sound"}, crashesAt({"b", "c"})},
                       {{"unlucky"}, crashesAt({"a", "b", "d"})}};
    CHECK(verdictOf(log, "poison") == CrashVerdict::Quarantined);
    CHECK(verdictOf(log, "sound") == CrashVerdict::Suspected);
    CHECK(verdictOf(log, "unlucky") == CrashVerdict::Suspected);
}

TEST_CASE("two requests that were near the same crashes are both tried again")
{
    CrashLog log{{{"one"}, crashesAt({"a", "b", "c"})}, {{"other"}, crashesAt({"a", "b", "c"})}};
    CHECK(verdictOf(log, "one") == CrashVerdict::Suspected);
    CHECK(verdictOf(log, "other") == CrashVerdict::Suspected);
    log[{"one"}] = crashesAt({"a", "b", "c", "d"});
    CHECK(verdictOf(log, "one") == CrashVerdict::Quarantined);
    CHECK(verdictOf(log, "other") == CrashVerdict::Suspected);
}

TEST_CASE("requests that were near many crashes together are quarantined all the same")
{
    const CrashesOfRequest crashes = crashesAt({"a", "b", "c", "d", "e"});
    const CrashLog log{{{"one"}, crashes}, {{"other"}, crashes}};
    CHECK(verdictOf(log, "one") == CrashVerdict::Quarantined);
}

TEST_CASE("the digest tells caller, path and body apart")
{
    CHECK(digestOf({"caller", "path", "body"}) == digestOf({"caller", "path", "body"}));
    CHECK(digestOf({"caller", "path", "body"}) != digestOf({"other", "path", "body"}));
    CHECK(digestOf({"ab", "c"}) != digestOf({"a", "bc"}));
    CHECK(digestOf({"x"}).value.size() == 32);
}
