#include "range_reader.hpp"

#include <geraniumpulley/core/http_status.hpp>

#include <iterator>
#include <memory>
#include <utility>

namespace geraniumpulley::entry {
namespace {

using Done = std::function<void(std::optional<platform::Rows> &&)>;

struct RangeReader : std::enable_shared_from_this<RangeReader>
{
    RangeReader(StoreLink &store, platform::RowRange range, Done done)
        : store(store), range(std::move(range)), done(std::move(done))
    {
    }

    void readNext()
    {
        this->store.send(
                {platform::encodeRead(this->range), rangeReadTimeout,
                 [self = this->shared_from_this()](StoreReply &&reply) { self->onReply(reply); }});
    }

    void onReply(const StoreReply &reply)
    {
        if (reply.outcome != codec::RelayOutcome::Answered || reply.status != core::status::ok)
            return this->done(std::nullopt);
        auto rows = platform::decodeRows(reply.body);
        if (!rows)
            return this->done(std::nullopt);
        platform::Rows &page = rows.value();
        std::move(page.rows.begin(), page.rows.end(), std::back_inserter(this->found.rows));
        // The version and clock of the first page hold for all rows: changes that were made during
        // the read are read again by a long poll from this version.
        if (std::exchange(this->isFirst, false)) {
            this->found.storeVersion = page.storeVersion;
            this->found.clock = page.clock;
        }
        this->found.truncated = page.truncated;
        if (!page.truncated || this->range.limit || this->found.rows.empty())
            return this->done(std::move(this->found));
        // No table has a key that extends another key by a space, so this skips no row.
        this->range.firstKey = this->found.rows.back().name.key + ' ';
        this->readNext();
    }

    StoreLink &store;
    platform::RowRange range;
    Done done;
    platform::Rows found;
    bool isFirst = true;
};

} // namespace

void readRange(StoreLink &store, platform::RowRange range, Done done)
{
    std::make_shared<RangeReader>(store, std::move(range), std::move(done))->readNext();
}

} // namespace geraniumpulley::entry
