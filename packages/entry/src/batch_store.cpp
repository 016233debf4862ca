#include "batch_store.hpp"

#include "range_reader.hpp"
#include "stored_batch.hpp"
#include "table_names.hpp"

#include <geraniumpulley/codec/row_messages.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

// A transaction over two partitions takes twice the usual latency of the store.
constexpr core::Duration transactionTimeout = std::chrono::milliseconds(1500);

void push(Parts &parts, core::BatchEvent event)
{
    parts.batches.deliver(std::move(event));
}

void transact(Parts &parts, const platform::Transaction &transaction,
              std::function<void(platform::TransactionReply &&)> done)
{
    parts.storeLink->send(
            {platform::encodeTransaction(transaction), transactionTimeout,
             [done = std::move(done)](StoreReply &&reply) {
                 if (reply.outcome == codec::RelayOutcome::Answered)
                     return done(platform::decodeTransactionReply(reply.status, reply.body));
                 platform::TransactionReply noReply;
                 if (reply.outcome == codec::RelayOutcome::NotSent)
                     noReply.outcome = core::StoreOutcome::NotCommitted;
                 done(std::move(noReply));
             }});
}

std::optional<core::BatchHead> findHead(const core::BatchId &id,
                                        const std::vector<platform::Row> &rows)
{
    for (const platform::Row &row : rows) {
        const bool isHead = row.name == headRow(id) || row.name == ownerRow(id);
        if (!isHead || row.removed || row.version == core::RowVersion{})
            continue;
        auto head = codec::decodeBatchHead(id, row.value, row.version);
        if (head)
            return head.value();
    }
    return std::nullopt;
}

void addHead(platform::Transaction &transaction, const core::BatchHead &head)
{
    const std::string value = codec::encodeBatchHead(head);
    transaction.writes.push_back({headRow(head.id), value});
    transaction.writes.push_back({ownerRow(head.id), value});
}

void addPartials(platform::Transaction &transaction, const core::BatchId &id,
                 const std::vector<core::PartialText> &partials)
{
    for (const core::PartialText &partial : partials)
        addChunks(transaction, id, partialPrefix, partial.itemIndex,
                  codec::encodePartialText(partial));
}

// Maps the reply to a verdict. If the fencing token still matches in a conflict, the position is
// taken, and an earlier attempt of the same commit wrote it: no other node writes under this token.
core::CommitVerdict toVerdict(const core::StoreResults &action,
                              const platform::TransactionReply &reply)
{
    switch (reply.outcome) {
    case core::StoreOutcome::Committed:
        return core::CommitVerdict::Committed;
    case core::StoreOutcome::NotCommitted:
        return core::CommitVerdict::NotCommitted;
    case core::StoreOutcome::Rejected:
        return core::CommitVerdict::Rejected;
    case core::StoreOutcome::Unknown:
        return core::CommitVerdict::Unknown;
    case core::StoreOutcome::Conflict:
        break;
    }
    const auto owner = std::find_if(
            reply.currentRows.begin(), reply.currentRows.end(),
            [&](const platform::Row &row) { return row.name == ownerRow(action.batch); });
    const bool isOwner = owner != reply.currentRows.end() && owner->version == action.fencingToken;
    return isOwner && !action.results.empty() ? core::CommitVerdict::Committed
                                              : core::CommitVerdict::Superseded;
}

} // namespace

void storeSubmission(Parts &parts, const core::StoreSubmission &action)
{
    const core::BatchId &id = action.head.id;
    platform::Transaction transaction;
    transaction.conditions.push_back({headRow(id), core::RowVersion{}});
    transaction.conditions.push_back({ownerRow(id), core::RowVersion{}});
    addHead(transaction, action.head);
    addChunks(transaction, id, specPrefix, 0,
              codec::encodeSubmittedBody(
                      {action.spec->host, action.spec->path, action.spec->encoded}));
    transact(parts, transaction, [&parts, id](platform::TransactionReply &&reply) {
        push(parts, core::SubmissionStored{id, reply.outcome, reply.version,
                                           findHead(id, reply.currentRows)});
    });
}

void storeResults(Parts &parts, const core::StoreResults &action)
{
    platform::Transaction transaction;
    transaction.conditions.push_back({ownerRow(action.batch), action.fencingToken});
    if (!action.results.empty())
        transaction.conditions.push_back(
                {resultRow(action.batch, action.firstPosition, 0), core::RowVersion{}});
    for (std::size_t i = 0; i < action.results.size(); ++i)
        addChunks(transaction, action.batch, resultPrefix, action.firstPosition + i,
                  codec::encodeItemResult(action.results[i]));
    addPartials(transaction, action.batch, action.partials);
    transact(parts, transaction, [&parts, action](platform::TransactionReply &&reply) {
        push(parts,
             core::ResultsStored{action.batch, action.fencingToken, toVerdict(action, reply)});
    });
}

void storeHead(Parts &parts, const core::StoreHead &action)
{
    platform::Transaction transaction;
    transaction.conditions.push_back({headRow(action.head.id), action.expectedVersion});
    addHead(transaction, action.head);
    addPartials(transaction, action.head.id, action.partials);
    transact(parts, transaction, [&parts, head = action.head](platform::TransactionReply &&reply) {
        push(parts, core::HeadStored{head, reply.outcome, reply.version,
                                     findHead(head.id, reply.currentRows)});
    });
}

void loadBatch(Parts &parts, const core::LoadBatch &action)
{
    readRange(*parts.storeLink, {contentsTable, action.batch.value, {}, {}},
              [&parts, id = action.batch](std::optional<platform::Rows> &&rows) {
                  core::BatchLoaded loaded{id, rows.has_value(), nullptr};
                  if (rows && !rows->rows.empty()) {
                      auto stored = assembleBatch(id, rows->rows);
                      if (stored) {
                          core::StoredBatch &batch = stored.value();
                          batch.spec = parts.batchMemory.hold(std::move(batch.spec));
                          loaded.stored = std::make_shared<core::StoredBatch>(std::move(batch));
                      } else {
                          parts.logger.write("batch_unreadable", field("batch", id.value),
                                             field("error", stored.error().message()));
                      }
                      loaded.succeeded = stored.has_value();
                  }
                  push(parts, std::move(loaded));
              });
}

// Results that a page holds only in part are read from their own position later.
void dropIncompleteValue(platform::Rows &page)
{
    const auto valueOf = [](const platform::Row &row) {
        return row.name.key.substr(0, row.name.key.rfind('/'));
    };
    const bool isCut = page.truncated && !page.rows.empty();
    const std::string last = isCut ? valueOf(page.rows.back()) : std::string();
    std::erase_if(page.rows, [&](const platform::Row &row) { return valueOf(row) == last; });
}

void readResults(Parts &parts, const core::ReadResults &action)
{
    const auto readEvent = std::make_shared<core::ResultsRead>();
    readEvent->reply = action.reply;
    const auto onResults = [&parts, readEvent](std::optional<platform::Rows> &&rows) {
        if (rows) {
            dropIncompleteValue(*rows);
            auto results = assembleResults(rows->rows);
            readEvent->succeeded = results.has_value();
            if (results)
                readEvent->results = std::move(results.value());
        }
        push(parts, std::move(*readEvent));
    };
    const platform::RowRange head{contentsTable, action.batch.value, ownerKey, specPrefix};
    const platform::RowRange results{contentsTable, action.batch.value,
                                     resultRow(action.batch, action.firstPosition, 0).key,
                                     resultsEndKey, platform::maxPageRows};
    readRange(*parts.storeLink, head,
              [&parts, readEvent, onResults, results,
               id = action.batch](std::optional<platform::Rows> &&rows) {
                  const auto found = rows ? findHead(id, rows->rows) : std::nullopt;
                  readEvent->succeeded = rows.has_value();
                  readEvent->exists = found.has_value();
                  if (!found)
                      return push(parts, std::move(*readEvent));
                  readEvent->ended = found->ended;
                  readEvent->itemCount = found->itemCount;
                  readRange(*parts.storeLink, results, onResults);
              });
}

void removeBatch(Parts &parts, const core::RemoveBatch &action)
{
    readRange(*parts.storeLink, {contentsTable, action.head.id.value, {}, {}},
              [&parts, head = action.head](std::optional<platform::Rows> &&rows) {
                  if (!rows)
                      return parts.logger.write("batch_not_removed", field("batch", head.id.value));
                  platform::Transaction transaction;
                  transaction.conditions.push_back({headRow(head.id), head.version});
                  const std::size_t maxRemovals = platform::maxTransactionEntries - 2;
                  const std::size_t count = std::min(rows->rows.size(), maxRemovals);
                  for (std::size_t i = 0; i < count; ++i)
                      transaction.removals.push_back(rows->rows[i].name);
                  // The head is removed last, so that a partly removed batch can still be found.
                  const bool isLast = count == rows->rows.size();
                  if (isLast)
                      transaction.removals.push_back(headRow(head.id));
                  transact(parts, transaction,
                           [&parts, head, isLast](platform::TransactionReply &&reply) {
                               const bool isCommitted =
                                       reply.outcome == core::StoreOutcome::Committed;
                               if (isCommitted && !isLast)
                                   return removeBatch(parts, core::RemoveBatch{head});
                               parts.logger.write(isCommitted ? "batch_removed"
                                                              : "batch_not_removed",
                                                  field("batch", head.id.value));
                           });
              });
}

} // namespace geraniumpulley::entry
