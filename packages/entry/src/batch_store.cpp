#include "batch_store.hpp"

#include "range_reader.hpp"
#include "stored_batch.hpp"
#include "table_names.hpp"

#include <geraniumpulley/codec/batch_rows.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using runtime::field;

// A transaction over two parts takes twice the store's usual time.
constexpr core::Duration transactionLimit = std::chrono::milliseconds(1500);

void push(Parts &parts, core::BatchEvent event)
{
    parts.batches.deliver(std::move(event));
}

void transact(Parts &parts, const platform::Transaction &transaction,
              std::function<void(platform::TransactionReply &&)> done)
{
    parts.store->send({platform::encodeTransaction(transaction), transactionLimit,
                       [done = std::move(done)](StoreReply &&reply) {
                           if (reply.outcome == codec::RelayOutcome::Answered)
                               return done(
                                       platform::decodeTransactionReply(reply.status, reply.body));
                           platform::TransactionReply unanswered;
                           if (reply.outcome == codec::RelayOutcome::NotSent)
                               unanswered.outcome = core::StoreOutcome::NotDone;
                           done(std::move(unanswered));
                       }});
}

std::optional<core::BatchHead> findHead(const core::BatchId &id,
                                        const std::vector<platform::Row> &rows)
{
    for (const platform::Row &row : rows) {
        const bool isHead = row.name == headRow(id) || row.name == ownerRow(id);
        if (!isHead || row.removed || row.version == core::RowVersion{})
            continue;
        auto head = codec::decodeHead(id, row.value, row.version);
        if (head)
            return head.value();
    }
    return std::nullopt;
}

void addHead(platform::Transaction &transaction, const core::BatchHead &head)
{
    const std::string value = codec::encodeHead(head);
    transaction.writes.push_back({headRow(head.id), value});
    transaction.writes.push_back({ownerRow(head.id), value});
}

void addPartials(platform::Transaction &transaction, const core::BatchId &id,
                 const std::vector<core::PartialText> &partials)
{
    for (const core::PartialText &partial : partials) {
        if (transaction.writes.size() + transaction.conditions.size() + 2
            > platform::maxTransactionEntries)
            return;
        addChunks(transaction, id, partialPrefix, partial.item, codec::encodePartial(partial));
    }
}

// A taken position holds what an earlier try of the same commit wrote: nobody else writes under
// this fencing number.
core::CommitVerdict toVerdict(const core::StoreResults &order,
                              const platform::TransactionReply &reply)
{
    switch (reply.outcome) {
    case core::StoreOutcome::Done:
        return core::CommitVerdict::Done;
    case core::StoreOutcome::NotDone:
        return core::CommitVerdict::NotDone;
    case core::StoreOutcome::Unknown:
        return core::CommitVerdict::Unknown;
    case core::StoreOutcome::Conflict:
        break;
    }
    const auto owner =
            std::find_if(reply.found.begin(), reply.found.end(), [&](const platform::Row &row) {
                return row.name == ownerRow(order.batch);
            });
    const bool isOwner = owner != reply.found.end() && owner->version == order.fence;
    return isOwner && !order.results.empty() ? core::CommitVerdict::Done
                                             : core::CommitVerdict::Superseded;
}

} // namespace

void storeSubmission(Parts &parts, const core::StoreSubmission &order)
{
    const core::BatchId &id = order.head.id;
    platform::Transaction transaction;
    transaction.conditions.push_back({headRow(id), core::RowVersion{}});
    transaction.conditions.push_back({ownerRow(id), core::RowVersion{}});
    addHead(transaction, order.head);
    addChunks(transaction, id, orderPrefix, 0,
              codec::encodeSubmitted({order.order->host, order.order->path, order.order->encoded}));
    transact(parts, transaction, [&parts, id](platform::TransactionReply &&reply) {
        push(parts,
             core::SubmissionStored{id, reply.outcome, reply.version, findHead(id, reply.found)});
    });
}

void storeResults(Parts &parts, const core::StoreResults &order)
{
    platform::Transaction transaction;
    transaction.conditions.push_back({ownerRow(order.batch), order.fence});
    if (!order.results.empty())
        transaction.conditions.push_back(
                {resultRow(order.batch, order.first, 0), core::RowVersion{}});
    for (std::size_t i = 0; i < order.results.size(); ++i)
        addChunks(transaction, order.batch, resultPrefix, order.first + i,
                  codec::encodeResult(order.results[i]));
    addPartials(transaction, order.batch, order.partials);
    transact(parts, transaction, [&parts, order](platform::TransactionReply &&reply) {
        push(parts, core::ResultsStored{order.batch, order.fence, toVerdict(order, reply)});
    });
}

void storeHead(Parts &parts, const core::StoreHead &order)
{
    platform::Transaction transaction;
    transaction.conditions.push_back({headRow(order.head.id), order.expected});
    addHead(transaction, order.head);
    addPartials(transaction, order.head.id, order.partials);
    transact(parts, transaction, [&parts, head = order.head](platform::TransactionReply &&reply) {
        push(parts,
             core::HeadStored{head, reply.outcome, reply.version, findHead(head.id, reply.found)});
    });
}

void loadBatch(Parts &parts, const core::LoadBatch &order)
{
    readRange(*parts.store, {contentsTable, order.batch.value, {}, {}},
              [&parts, id = order.batch](std::optional<platform::Rows> &&rows) {
                  core::BatchLoaded loaded{id, rows.has_value(), nullptr};
                  if (rows && !rows->rows.empty()) {
                      auto stored = assembleBatch(id, rows->rows);
                      if (stored)
                          loaded.stored =
                                  std::make_shared<core::StoredBatch>(std::move(stored.value()));
                      else
                          parts.logger.write("batch_unreadable", field("batch", id.value),
                                             field("error", stored.error().message()));
                      loaded.answered = stored.has_value();
                  }
                  push(parts, std::move(loaded));
              });
}

void readResults(Parts &parts, const core::ReadResults &order)
{
    const auto answer = std::make_shared<core::ResultsRead>();
    answer->reply = order.reply;
    const auto onResults = [&parts, answer](std::optional<platform::Rows> &&rows) {
        if (rows) {
            auto results = assembleResults(rows->rows);
            answer->answered = results.has_value();
            if (results)
                answer->results = std::move(results.value());
        }
        push(parts, std::move(*answer));
    };
    const platform::RowRange head{contentsTable, order.batch.value, ownerKey, orderPrefix};
    const platform::RowRange results{contentsTable, order.batch.value,
                                     resultRow(order.batch, order.after, 0).key, behindResults};
    readRange(*parts.store, head,
              [&parts, answer, onResults, results,
               id = order.batch](std::optional<platform::Rows> &&rows) {
                  const auto found = rows ? findHead(id, rows->rows) : std::nullopt;
                  answer->answered = rows.has_value();
                  answer->exists = found.has_value();
                  if (!found)
                      return push(parts, std::move(*answer));
                  answer->ended = found->ended;
                  answer->total = found->total;
                  readRange(*parts.store, results, onResults);
              });
}

void removeBatch(Parts &parts, const core::RemoveBatch &order)
{
    readRange(*parts.store, {contentsTable, order.head.id.value, {}, {}},
              [&parts, head = order.head](std::optional<platform::Rows> &&rows) {
                  if (!rows)
                      return parts.logger.write("batch_not_removed", field("batch", head.id.value));
                  platform::Transaction transaction;
                  transaction.conditions.push_back({headRow(head.id), head.version});
                  const std::size_t room = platform::maxTransactionEntries - 2;
                  const std::size_t count = std::min(rows->rows.size(), room);
                  for (std::size_t i = 0; i < count; ++i)
                      transaction.removals.push_back(rows->rows[i].name);
                  // The head goes last: a batch that is removed in part is found again by it.
                  const bool isLast = count == rows->rows.size();
                  if (isLast)
                      transaction.removals.push_back(headRow(head.id));
                  transact(parts, transaction,
                           [&parts, head, isLast](platform::TransactionReply &&reply) {
                               const bool isDone = reply.outcome == core::StoreOutcome::Done;
                               if (isDone && !isLast)
                                   return removeBatch(parts, core::RemoveBatch{head});
                               parts.logger.write(isDone ? "batch_removed" : "batch_not_removed",
                                                  field("batch", head.id.value));
                           });
              });
}

} // namespace geraniumpulley::entry
