#include <geraniumpulley/core/http_header.hpp>
#include <geraniumpulley/core/http_status.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley::core;

TEST_CASE("a field can be sent if nothing in it ends the field, and the library takes it")
{
    CHECK(isSendable({"X-Model", "daka 5\t\xc3\xa9"}));
    CHECK(isSendable({"X-Empty", ""}));
    CHECK_FALSE(isSendable({"", "x"}));
    CHECK_FALSE(isSendable({"X Model", "x"}));
    CHECK_FALSE(isSendable({"X:Model", "x"}));
    CHECK_FALSE(isSendable({"X-Model", "a\r\nX-B: c"}));
    CHECK_FALSE(isSendable({"X-Model\r\nX-B", "c"}));
    CHECK_FALSE(isSendable({"X-Model", std::string("a\0b", 3)}));
    CHECK_FALSE(isSendable({"X-Model", std::string(65'534, 'x')}));
    CHECK(isSendable({"X-Model", std::string(60'000, 'x')}));
}

TEST_CASE("a target can be sent if nothing in it ends the request line")
{
    CHECK(isSendableTarget("/samples/run?a=b%20c"));
    CHECK(isSendableTarget("*"));
    CHECK_FALSE(isSendableTarget(""));
    CHECK_FALSE(isSendableTarget("/a b"));
    CHECK_FALSE(isSendableTarget("/a\tb"));
    CHECK_FALSE(isSendableTarget("/a\r\nHost: b"));
}

TEST_CASE("interim and final statuses are those of the protocol")
{
    for (const std::uint32_t code : {100U, 102U, 103U, 199U})
        CHECK((status::isInterim(code) && !status::isFinal(code)));
    for (const std::uint32_t code : {200U, 204U, 304U, 421U, 599U})
        CHECK((!status::isInterim(code) && status::isFinal(code)));
    for (const std::uint32_t code : {0U, 99U, 101U, 600U, 999U, 1000U})
        CHECK((!status::isInterim(code) && !status::isFinal(code)));
}
