#include "standin.hpp"

#include <cpprest/json.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <tuple>
#include <utility>

namespace standin {
namespace {

using geraniumpulley::core::Duration;
using geraniumpulley::net::ServerRequest;
using web::json::value;

// Upper bound of the time that a read of changes waits, even if `wait_ms` is longer.
constexpr Duration maxFeedWait = std::chrono::milliseconds(100);

using RowKey = std::tuple<std::string, std::string, std::string>; // Table, partition and key.

struct StoredRow
{
    std::string content; // In base64.
    std::uint64_t version = 0;
    bool isRemoved = false;
};

RowKey keyOf(const value &row)
{
    return {row.at("table").as_string(), row.at("part").as_string(), row.at("key").as_string()};
}

value encodeRow(const RowKey &key, const StoredRow &row)
{
    value encoded = value::object();
    encoded["table"] = value::string(std::get<0>(key));
    encoded["part"] = value::string(std::get<1>(key));
    encoded["key"] = value::string(std::get<2>(key));
    encoded["ver"] = value::number(row.version);
    if (row.isRemoved)
        encoded["tombstone"] = value::boolean(true);
    else
        encoded["value"] = value::string(row.content);
    return encoded;
}

constexpr std::size_t maxCallBytes = 1'000'000;
constexpr std::size_t maxCallEntries = 100;

// A versioned table service with conditional transactions, range reads and a feed of changes.
struct RowStore
{
    std::map<RowKey, StoredRow> rows;
    std::uint64_t version = 0;
    std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();

    Reply serve(const ServerRequest &request)
    {
        const std::string path = requestPath(request);
        if (path == "/-/rows-tx")
            return request.body.size() > maxCallBytes ? Reply{413, "{}", {}}
                                                      : this->transact(value::parse(request.body));
        if (path == "/-/rows-get")
            return this->readRange(request);
        if (path == "/-/rows-feed")
            return this->readChanges(request);
        return {404, "{}", {}};
    }

    std::uint64_t versionOf(const RowKey &key) const
    {
        const auto position = this->rows.find(key);
        return position == this->rows.end() || position->second.isRemoved
                       ? 0
                       : position->second.version;
    }

    Reply makeReply(std::uint32_t status, std::vector<value> encodedRows = {}) const
    {
        value body = value::object();
        body["rows"] = value::array(std::move(encodedRows));
        body["ver"] = value::number(this->version);
        const auto age = std::chrono::steady_clock::now() - this->startedAt;
        body["now_ms"] = value::number(static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(age).count() + 1));
        body["truncated"] = value::boolean(false);
        return {status, body.serialize(), {}};
    }

    Reply transact(const value &transaction)
    {
        std::size_t entries = 0;
        for (const char *list : {"expected", "writes", "remove"})
            entries += transaction.at(list).size();
        if (entries > maxCallEntries)
            return {413, "{}", {}};
        bool conditionsHold = true;
        std::vector<value> encodedRows;
        for (const value &condition : transaction.at("expected").as_array()) {
            const RowKey key = keyOf(condition);
            const std::uint64_t current = this->versionOf(key);
            conditionsHold =
                    conditionsHold && current == condition.at("ver").as_number().to_uint64();
            if (current != 0)
                encodedRows.push_back(encodeRow(key, this->rows.at(key)));
        }
        if (!conditionsHold)
            return this->makeReply(412, std::move(encodedRows));
        ++this->version;
        for (const value &write : transaction.at("writes").as_array())
            this->rows[keyOf(write)] = {write.at("value").as_string(), this->version, false};
        for (const value &row : transaction.at("remove").as_array())
            this->rows[keyOf(row)] = {{}, this->version, true};
        return this->makeReply(200);
    }

    Reply readRange(const ServerRequest &request) const
    {
        const std::string table = queryParameter(request, "table");
        const std::string part = queryParameter(request, "part");
        const std::string firstKey = queryParameter(request, "from");
        const std::string endKey = queryParameter(request, "to");
        std::vector<value> encodedRows;
        for (const auto &[key, row] : this->rows) {
            const auto &[rowTable, rowPart, rowKey] = key;
            const bool isInside = rowTable == table && rowPart == part && rowKey >= firstKey
                                  && (endKey.empty() || rowKey < endKey) && !row.isRemoved;
            if (isInside)
                encodedRows.push_back(encodeRow(key, row));
        }
        return this->makeReply(200, std::move(encodedRows));
    }

    Reply readChanges(const ServerRequest &request) const
    {
        const std::string table = queryParameter(request, "table");
        const std::uint64_t after = std::stoull(queryParameter(request, "after"));
        std::vector<value> encodedRows;
        for (const auto &[key, row] : this->rows) {
            if (std::get<0>(key) == table && row.version > after)
                encodedRows.push_back(encodeRow(key, row));
        }
        Reply reply = this->makeReply(200, std::move(encodedRows));
        const auto maxWait =
                std::chrono::milliseconds(std::stoull(queryParameter(request, "wait_ms")));
        if (reply.body.find("\"rows\":[]") != std::string::npos)
            reply.delay = std::min<Duration>(maxWait, maxFeedWait);
        return reply;
    }
};

} // namespace

Service makeRowStore()
{
    auto store = std::make_shared<RowStore>();
    return [store](const ServerRequest &request) { return store->serve(request); };
}

} // namespace standin
