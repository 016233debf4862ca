#include <geraniumpulley/codec/claim_messages.hpp>

#include <doctest/doctest.h>

using namespace geraniumpulley;

namespace {

core::CommitClaims makeCommit()
{
    core::CommitClaims commit;
    commit.shard = {core::ShardKind::Claims, 3};
    commit.fence = core::FencingToken{7};
    commit.row.key = "claims/3/x";
    commit.row.writeId = "a-1-1";
    commit.row.expiresAt = core::WallTime(std::chrono::seconds(1'700'000'600));
    commit.row.claims = {{"1:c\"2:s", 18'446'744'073'709'551'615U, commit.row.expiresAt}};
    commit.row.answers = {
            {"id", {core::Outcome::Ran, core::Reason::Served, 201, "text/plain", "a\nb"}}};
    return commit;
}

} // namespace

TEST_CASE("a stored group of claims and answers decodes to the original row")
{
    const core::CommitClaims commit = makeCommit();
    const codec::TableTransaction transaction = codec::claimTransaction(commit);
    REQUIRE(transaction.checks.size() == 1);
    CHECK(transaction.checks[0].key == "fence/claims-3");
    CHECK(transaction.checks[0].version == 7);
    REQUIRE(transaction.writes.size() == 1);
    const auto row =
            codec::decodeClaimRow({transaction.writes[0].key, transaction.writes[0].value, 1});
    REQUIRE(row.has_value());
    CHECK(row.value() == commit.row);
}

TEST_CASE("one malformed row fails the whole load, since its claims would otherwise be overlooked")
{
    const std::string body =
            R"({"rows":[{"key":"claims/3/x","value":"{\"write_id\":1}","version":1}]})";
    CHECK(codec::decodeClaimRows(body).has_error());
}

TEST_CASE("a commit that only deletes writes no row")
{
    core::CommitClaims commit = makeCommit();
    commit.row.claims.clear();
    commit.row.answers.clear();
    commit.expiredRows = {"claims/3/old"};
    const codec::TableTransaction transaction = codec::claimTransaction(commit);
    CHECK(transaction.writes.empty());
    CHECK(transaction.deletes == commit.expiredRows);
}
