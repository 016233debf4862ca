#include <geraniumpulley/core/accounts/authorization.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace geraniumpulley::core;
using namespace std::chrono_literals;

namespace {

const Time start{100s};

Directory makeDirectory()
{
    auto routing = std::make_shared<RoutingTable>();
    routing->accounts =
            ClientAccounts::create({{{"large"}, {"k1", "k2"}}, {{"small"}, {"k3"}}}).value();
    Directory directory;
    directory.routing = routing;
    directory.routingReadAt = start;
    return directory;
}

} // namespace

TEST_CASE("a key belongs to the account that lists it")
{
    const auto accounts = ClientAccounts::create({{{"a"}, {"k1", "k2"}}, {{"b"}, {}}});
    REQUIRE(accounts.has_value());
    CHECK(accounts.value().size() == 2);
    REQUIRE(accounts.value().find("k2") != nullptr);
    CHECK(accounts.value().find("k2")->value == "a");
    CHECK(accounts.value().find("k") == nullptr);
    CHECK(accounts.value().find("") == nullptr);
}

// Guards against a table in which a key selects one of two accounts by chance.
TEST_CASE("malformed accounts are an error that says what is wrong")
{
    const auto errorOf = [](const std::vector<ClientAccount> &accounts) {
        return ClientAccounts::create(accounts).error();
    };
    CHECK(errorOf({{{""}, {"k"}}}) == AccountErrc::EmptyName);
    CHECK(errorOf({{{"a"}, {"k"}}, {{"a"}, {"l"}}}) == AccountErrc::RepeatedName);
    CHECK(errorOf({{{"a"}, {""}}}) == AccountErrc::EmptyKey);
    CHECK(errorOf({{{"a"}, {"k"}}, {{"b"}, {"k"}}}) == AccountErrc::RepeatedKey);
    CHECK(errorOf({{{"a"}, {"k", "k"}}}) == AccountErrc::RepeatedKey);
    CHECK(errorOf({{{"a"}, {"k", "k"}}}).message() == "a key is listed twice");
}

TEST_CASE("a known key is granted its account, also on a public route")
{
    const Directory directory = makeDirectory();
    Route route;
    for (const bool isPublic : {false, true}) {
        route.isPublic = isPublic;
        const Access access = authorize(&directory, &route, "k3", start);
        CHECK(access.verdict == AccessVerdict::Granted);
        CHECK(access.account == AccountName{"small"});
        CHECK(access.usesAccounts);
    }
    CHECK(authorize(&directory, nullptr, "k1", start).account == AccountName{"large"});
}

TEST_CASE("without a known key only public routes are granted")
{
    const Directory directory = makeDirectory();
    Route route;
    CHECK(authorize(&directory, &route, "k4", start).verdict == AccessVerdict::UnknownKey);
    CHECK(authorize(&directory, &route, std::nullopt, start).verdict == AccessVerdict::UnknownKey);
    CHECK(authorize(&directory, nullptr, "k4", start).verdict == AccessVerdict::UnknownKey);
    route.isPublic = true;
    const Access access = authorize(&directory, &route, "k4", start);
    CHECK(access.verdict == AccessVerdict::Granted);
    CHECK_FALSE(access.account.has_value());
    CHECK(access.usesAccounts);
    // A batch without an account could take the name of one with an account.
    route.kind = RouteKind::Batch;
    CHECK(authorize(&directory, &route, std::nullopt, start).verdict == AccessVerdict::UnknownKey);
}

// Guards against a final refusal of a new key by a node that has missed the table which adds it.
TEST_CASE("a node that reads the table no more refuses unknown keys for the moment only")
{
    const Directory directory = makeDirectory();
    const Route route;
    const Time late = start + maxTableAge + 1ms;
    CHECK(authorize(&directory, &route, "k4", start + maxTableAge).verdict
          == AccessVerdict::UnknownKey);
    CHECK(authorize(&directory, &route, "k4", late).verdict == AccessVerdict::TableOutdated);
    CHECK(authorize(&directory, &route, std::nullopt, late).verdict == AccessVerdict::UnknownKey);
    CHECK(authorize(&directory, &route, "k1", late).verdict == AccessVerdict::Granted);
}

TEST_CASE("without accounts each request is granted, without a routing table none is")
{
    Directory directory = makeDirectory();
    directory.routing = std::make_shared<RoutingTable>();
    const Access access = authorize(&directory, nullptr, "k1", start);
    CHECK(access.verdict == AccessVerdict::Granted);
    CHECK_FALSE(access.account.has_value());
    CHECK_FALSE(access.usesAccounts);
    directory.routing.reset();
    CHECK(authorize(&directory, nullptr, "k1", start).verdict == AccessVerdict::NoRoutingTable);
    CHECK(authorize(nullptr, nullptr, "k1", start).verdict == AccessVerdict::NoRoutingTable);
}

// Guards against one account reading the batches of another by a crafted id.
TEST_CASE("equal ids of different accounts are different batches")
{
    const std::optional<AccountName> a = AccountName{"a"};
    const std::optional<AccountName> slashed = AccountName{"a/b"};
    CHECK(qualifyBatchId(std::nullopt, "id").value == "id");
    CHECK(qualifyBatchId(a, "b/id") != qualifyBatchId(slashed, "id"));
    CHECK(qualifyBatchId(AccountName{"a%2Fb"}, "id") != qualifyBatchId(slashed, "id"));
    for (const std::string name : {"a", "a/b", "a%2Fb", "%", "/", "a%b/%25"}) {
        CAPTURE(name);
        const BatchId batch = qualifyBatchId(AccountName{name}, "x/y");
        CHECK(accountOf(batch) == AccountName{name});
        CHECK(clientIdOf(batch) == "x/y");
    }
    CHECK_FALSE(accountOf({"id"}).has_value());
    CHECK(clientIdOf({"id"}) == "id");
}
