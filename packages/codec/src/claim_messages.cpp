#include <geraniumpulley/codec/claim_messages.hpp>

#include "answer_status.hpp"

#include <geraniumpulley/codec/detail/json_reader.hpp>
#include <geraniumpulley/codec/error.hpp>

#include <utility>

namespace geraniumpulley::codec {
namespace {

using detail::JsonReader;
using detail::Problems;
using web::json::value;

// Digests are encoded as strings: an unsigned 64-bit value may exceed the range of the JSON
// library's numbers, which it reads as signed.
std::string encodeDigest(std::uint64_t digest)
{
    return std::to_string(digest);
}

std::uint64_t readDigest(JsonReader &reader)
{
    const std::string text = reader.readString("digest");
    std::uint64_t digest = 0;
    for (const char c : text) {
        if (c < '0' || c > '9')
            reader.report("digest", "is not a number", "a whole number");
        digest = digest * 10 + static_cast<std::uint64_t>(c - '0');
    }
    return digest;
}

std::uint64_t toEpochMilliseconds(core::WallTime time)
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

core::WallTime readWallTime(JsonReader &reader, const char *key)
{
    return core::WallTime(std::chrono::milliseconds(reader.readNumber(key)));
}

value encodeClaim(const core::ClaimRecord &record)
{
    value encoded = value::object();
    encoded["identity"] = value::string(record.identity);
    encoded["digest"] = value::string(encodeDigest(record.digest));
    encoded["expires_ms"] = value::number(toEpochMilliseconds(record.expiresAt));
    return encoded;
}

value encodeAnswer(const core::AnswerRecord &record)
{
    value encoded = value::object();
    encoded["identity"] = value::string(record.identity);
    encoded["kept"] = value::boolean(record.answer.reason != core::Reason::AnswerNotKept);
    encoded["status"] = value::number(record.answer.status);
    encoded["content_type"] = value::string(record.answer.contentType);
    encoded["body"] = value::string(record.answer.body);
    return encoded;
}

core::AnswerRecord readAnswer(JsonReader &reader)
{
    constexpr std::uint64_t maxStatus = 999;
    core::AnswerRecord record;
    record.identity = reader.readString("identity");
    record.answer.outcome = core::Outcome::Ran;
    record.answer.reason =
            reader.readBool("kept") ? core::Reason::Served : core::Reason::AnswerNotKept;
    record.answer.status = static_cast<std::uint32_t>(reader.readNumber("status", {0, maxStatus}));
    record.answer.contentType = reader.readString("content_type");
    record.answer.body = reader.readString("body");
    record.answer = checkStatus(std::move(record.answer));
    return record;
}

std::string encodeClaimRow(const core::ClaimRow &row)
{
    std::vector<value> claims;
    for (const core::ClaimRecord &record : row.claims)
        claims.push_back(encodeClaim(record));
    std::vector<value> answers;
    for (const core::AnswerRecord &record : row.answers)
        answers.push_back(encodeAnswer(record));
    value encoded = value::object();
    encoded["write_id"] = value::string(row.writeId);
    encoded["expires_ms"] = value::number(toEpochMilliseconds(row.expiresAt));
    encoded["claims"] = value::array(std::move(claims));
    encoded["answers"] = value::array(std::move(answers));
    return encoded.serialize();
}

} // namespace

std::string claimRowPrefix(const core::Shard &shard)
{
    return "claims/" + std::to_string(shard.index) + "/";
}

TableTransaction claimTransaction(const core::CommitClaims &commit)
{
    TableTransaction transaction;
    transaction.checks.push_back(fenceCheck(commit.shard, commit.fence));
    // A commit without claims and answers only deletes expired rows.
    if (!commit.row.claims.empty() || !commit.row.answers.empty())
        transaction.writes.push_back({commit.row.key, encodeClaimRow(commit.row)});
    transaction.deletes = commit.expiredRows;
    return transaction;
}

core::Result<core::ClaimRow> decodeClaimRow(const TableRow &row)
{
    Problems problems;
    const value parsed = detail::parseJson(row.value, problems);
    core::ClaimRow decoded;
    decoded.key = row.key;
    JsonReader reader(parsed, "", problems);
    decoded.writeId = reader.readString("write_id");
    decoded.expiresAt = readWallTime(reader, "expires_ms");
    reader.readObjects("claims", [&](JsonReader &claim) {
        core::ClaimRecord record;
        record.identity = claim.readString("identity");
        record.digest = readDigest(claim);
        record.expiresAt = readWallTime(claim, "expires_ms");
        decoded.claims.push_back(std::move(record));
    });
    reader.readObjects("answers",
                       [&](JsonReader &answer) { decoded.answers.push_back(readAnswer(answer)); });
    reader.reportUnknownKeys();
    if (!problems.empty())
        return make_error_code(Errc::SchemaMismatch);
    return decoded;
}

core::Result<std::vector<core::ClaimRow>> decodeClaimRows(const std::string &body)
{
    const auto rows = decodeRows(body);
    if (!rows)
        return rows.error();
    std::vector<core::ClaimRow> decoded;
    for (const TableRow &row : rows.value()) {
        auto claimRow = decodeClaimRow(row);
        if (!claimRow)
            return claimRow.error();
        decoded.push_back(std::move(claimRow.value()));
    }
    return decoded;
}

} // namespace geraniumpulley::codec
