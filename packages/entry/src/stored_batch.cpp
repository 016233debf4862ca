#include "stored_batch.hpp"

#include "table_names.hpp"

#include <geraniumpulley/codec/row_messages.hpp>
#include <geraniumpulley/platform/client_messages.hpp>
#include <geraniumpulley/platform/error.hpp>

#include <boost/outcome/try.hpp>

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace geraniumpulley::entry {
namespace {

// Values by key, where the key is that of the rows without the chunk number.
using Values = std::map<std::string, std::string>;

// Joins the chunks of all values whose keys start with the prefix; rows are ordered by key.
Values joinChunks(const std::vector<platform::Row> &rows, std::string_view prefix)
{
    Values values;
    for (const platform::Row &row : rows) {
        const std::string &key = row.name.key;
        if (key.starts_with(prefix))
            values[key.substr(0, key.rfind('/'))] += row.value;
    }
    return values;
}

core::Result<core::BatchSpec> assembleSpec(const core::BatchId &id,
                                           const std::vector<platform::Row> &rows)
{
    const Values values = joinChunks(rows, specPrefix);
    if (values.size() != 1)
        return make_error_code(platform::Errc::SchemaMismatch);
    BOOST_OUTCOME_TRY(submitted, codec::decodeSubmittedBody(values.begin()->second));
    return platform::decodeBatchSpec(id, submitted.host, submitted.path, std::move(submitted.body));
}

} // namespace

core::Result<std::vector<core::ItemResult>> assembleResults(const std::vector<platform::Row> &rows)
{
    std::vector<core::ItemResult> results;
    for (const auto &[key, value] : joinChunks(rows, resultPrefix)) {
        BOOST_OUTCOME_TRY(result, codec::decodeItemResult(value));
        results.push_back(std::move(result));
    }
    return results;
}

core::Result<core::StoredBatch> assembleBatch(const core::BatchId &id,
                                              const std::vector<platform::Row> &rows)
{
    core::StoredBatch stored;
    bool hasHead = false;
    for (const platform::Row &row : rows) {
        if (row.name.key != ownerKey)
            continue;
        BOOST_OUTCOME_TRY(head, codec::decodeBatchHead(id, row.value, row.version));
        stored.head = std::move(head);
        hasHead = true;
    }
    if (!hasHead)
        return make_error_code(platform::Errc::SchemaMismatch);
    BOOST_OUTCOME_TRY(spec, assembleSpec(id, rows));
    stored.spec = std::make_shared<const core::BatchSpec>(std::move(spec));
    BOOST_OUTCOME_TRY(results, assembleResults(rows));
    stored.results = std::move(results);
    for (const auto &[key, value] : joinChunks(rows, partialPrefix)) {
        BOOST_OUTCOME_TRY(partial, codec::decodePartialText(value));
        stored.partials.push_back(std::move(partial));
    }
    return stored;
}

} // namespace geraniumpulley::entry
