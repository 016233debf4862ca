#include "entry_harness.hpp"

#include <doctest/doctest.h>

using namespace geraniumpulley::core;
using namespace geraniumpulley::core::test;

namespace {

DirectoryPointer makeDirectoryWithAccounts()
{
    auto directory = std::make_shared<Directory>(*makeDirectory(2));
    auto routing = std::make_shared<RoutingTable>(*directory->routing);
    routing->accounts = ClientAccounts::create({{{"a"}, {"k"}}}).value();
    directory->routing = routing;
    return directory;
}

struct AccountHarness : EntryHarness
{
    AccountHarness() : EntryHarness(2)
    {
        this->send(EntryDirectoryChanged{makeDirectoryWithAccounts()});
    }

    void callAs(std::optional<AccountName> account, std::uint64_t reply = 1)
    {
        auto call = std::make_shared<EntryCall>();
        call->method = "POST";
        call->host = "host";
        call->target = "/safe/x";
        call->requestId = "id";
        call->timeout = 2s;
        call->account = std::move(account);
        this->send(EntryCallReceived{ReplyToken{reply}, call});
    }
};

} // namespace

// Guards against a request without an account that slips through while the table changes.
TEST_CASE("a request that was authorized by a table without accounts is not sent")
{
    AccountHarness harness;
    harness.callAs(std::nullopt);
    CHECK(harness.find<SendAttempt>() == nullptr);
    REQUIRE(harness.find<AnswerEntryCall>() != nullptr);
    CHECK(harness.find<AnswerEntryCall>()->answer.status == 503);
    CHECK(harness.find<AnswerEntryCall>()->verdict == EntryVerdict::AccountUnknown);
}

// Guards against credentials that are forwarded since the table had no accounts a moment before.
TEST_CASE("a request on a public route that was decoded with its credentials is not sent")
{
    AccountHarness harness;
    auto directory = std::make_shared<Directory>(*makeDirectoryWithAccounts());
    auto routing = std::make_shared<RoutingTable>(*directory->routing);
    for (Route &route : routing->routes)
        route.isPublic = true;
    directory->routing = routing;
    harness.send(EntryDirectoryChanged{directory});
    harness.callAs(std::nullopt);
    CHECK(harness.find<SendAttempt>() != nullptr);
    auto call = std::make_shared<EntryCall>();
    call->host = "host";
    call->target = "/safe/x";
    call->credentials = "Bearer k";
    harness.send(EntryCallReceived{ReplyToken{2}, call});
    CHECK(harness.find<SendAttempt>() == nullptr);
}

TEST_CASE("a request of an account is counted once, from when it was sent")
{
    AccountHarness harness;
    harness.callAs(AccountName{"a"});
    const SendAttempt sent = *harness.find<SendAttempt>();
    CHECK(harness.find<RequestBegan>() == nullptr);
    harness.now += 40ms;
    harness.answer(sent.operation, 200);
    REQUIRE(harness.find<RequestBegan>() != nullptr);
    CHECK(harness.find<RequestBegan>()->account == AccountName{"a"});
    CHECK(harness.find<RequestBegan>()->age == 40ms);
}

TEST_CASE("a request that a target refused is not counted, one whose answer was lost is")
{
    AccountHarness harness;
    harness.callAs(AccountName{"a"});
    const SendAttempt first = *harness.find<SendAttempt>();
    harness.answer(first.operation, 503, true);
    CHECK(harness.find<RequestBegan>() == nullptr);
    const SendAttempt second = *harness.find<SendAttempt>();
    harness.fail(second.operation, EntryFailure::AnswerLost);
    CHECK(harness.find<RequestBegan>() != nullptr);
    const SendAttempt third = *harness.find<SendAttempt>();
    harness.answer(third.operation, 200);
    CHECK(harness.find<RequestBegan>() == nullptr);
}

TEST_CASE("a request whose client leaves while it runs is counted, a scoring request never")
{
    AccountHarness harness;
    harness.callAs(AccountName{"a"});
    harness.send(CallerDisconnected{ReplyToken{1}});
    CHECK(harness.find<RequestBegan>() != nullptr);
    harness.send(ScoreRequested{{"a/b"}, {"i"}, {"s", "host", "/safe/s", ""}});
    const SendAttempt sent = *harness.find<SendAttempt>();
    CHECK(sent.call->account == AccountName{"a"});
    harness.answer(sent.operation, 200);
    CHECK(harness.find<RequestBegan>() == nullptr);
}
