#include "progress_messages.hpp"

#include <doctest/doctest.h>

using namespace geraniumpulley;
using core::ReadVerdict;

namespace {

std::optional<core::BatchId> decode(const std::string &method, const std::string &target)
{
    net::ServerRequest request;
    request.method = method;
    request.target = target;
    return entry::decodeProgressRequest(request);
}

} // namespace

TEST_CASE("a request for progress is recognised by method and path")
{
    CHECK(decode("GET", "/v1/batches/b1/progress") == core::BatchId{"b1"});
    CHECK(decode("GET", "/v1/batches/b1/progress?x=1") == core::BatchId{"b1"});
    CHECK_FALSE(decode("POST", "/v1/batches/b1/progress"));
    CHECK_FALSE(decode("GET", "/v1/batches/progress"));
    CHECK_FALSE(decode("GET", "/v1/batches//progress"));
    CHECK_FALSE(decode("GET", "/v1/batches/b1"));
    CHECK_FALSE(decode("GET", ""));
}

TEST_CASE("an answer without progress says whether to ask again")
{
    CHECK(entry::encodeProgressAnswer({}, ReadVerdict::Found, "{}").body == "{}");
    CHECK(entry::encodeProgressAnswer({}, ReadVerdict::Unknown, {}).status == 404);
    const auto refused = entry::encodeProgressAnswer({}, ReadVerdict::StoreUnavailable, {});
    CHECK(refused.status == 503);
    CHECK(refused.headers.size() == 1);
}
