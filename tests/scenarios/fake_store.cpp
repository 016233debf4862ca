#include "fake_store.hpp"

#include <algorithm>
#include <memory>

namespace scenario {
namespace {

using namespace geraniumpulley;

constexpr Duration minOneWayLatency = std::chrono::milliseconds(4);
constexpr Duration clientTimeout = std::chrono::seconds(2);

} // namespace

// The operation is applied after a one-way latency and answered after another one, so that a fault
// can lose either the request or the answer.
void FakeStore::perform(std::function<void()> operation, std::function<void(bool)> done)
{
    const Duration requestLatency = this->simulation.jitter(minOneWayLatency) + this->extraLatency;
    const Time deadline = this->simulation.now + clientTimeout;
    this->simulation.scheduleAfter(requestLatency, [this, operation = std::move(operation),
                                                    done = std::move(done), deadline]() mutable {
        const StoreFault activeFault = this->fault;
        const bool isApplied =
                activeFault != StoreFault::Down && activeFault != StoreFault::LosesRequests;
        if (isApplied)
            operation();
        const Time answerTime = this->simulation.now + this->simulation.jitter(minOneWayLatency);
        const bool answered =
                isApplied && activeFault != StoreFault::LosesAnswers && answerTime <= deadline;
        this->simulation.scheduleAt(answered ? answerTime : deadline,
                                    [done = std::move(done), answered] { done(answered); });
    });
}

core::CommitResult FakeStore::commit(const codec::TableTransaction &transaction)
{
    const bool checksPass = std::all_of(
            transaction.checks.begin(), transaction.checks.end(), [this](const auto &check) {
                const auto row = this->rows.find(check.key);
                return check.version == (row == this->rows.end() ? 0 : row->second.version);
            });
    if (!checksPass)
        return core::CommitResult::Refused;
    for (const codec::RowWrite &write : transaction.writes) {
        codec::TableRow &row = this->rows[write.key];
        row.key = write.key;
        row.value = write.value;
        ++row.version;
    }
    for (const std::string &key : transaction.deletes)
        this->rows.erase(key);
    return core::CommitResult::Committed;
}

void FakeStore::transact(const codec::TableTransaction &transaction,
                         std::function<void(core::CommitResult)> done)
{
    auto result = std::make_shared<core::CommitResult>(core::CommitResult::Uncertain);
    this->perform([this, transaction, result] { *result = this->commit(transaction); },
                  [done = std::move(done), result](bool answered) {
                      done(answered ? *result : core::CommitResult::Uncertain);
                  });
}

void FakeStore::selectRows(const std::function<bool(const std::string &)> &matches,
                           std::function<void(std::optional<std::vector<codec::TableRow>>)> done)
{
    auto matchingRows = std::make_shared<std::vector<codec::TableRow>>();
    this->perform(
            [this, matches, matchingRows] {
                for (const auto &[key, row] : this->rows) {
                    if (matches(key))
                        matchingRows->push_back(row);
                }
            },
            [done = std::move(done), matchingRows](bool answered) {
                done(answered ? std::optional(*matchingRows) : std::nullopt);
            });
}

void FakeStore::readPrefix(const std::string &prefix,
                           std::function<void(std::optional<std::vector<codec::TableRow>>)> done)
{
    this->selectRows([prefix](const std::string &key) { return key.starts_with(prefix); },
                     std::move(done));
}

void FakeStore::readRow(const std::string &key,
                        std::function<void(std::optional<std::vector<codec::TableRow>>)> done)
{
    this->selectRows([key](const std::string &candidate) { return candidate == key; },
                     std::move(done));
}

void FakeStore::putObject(const std::string &key, std::string value, std::function<void(bool)> done)
{
    this->perform([this, key, value = std::move(value)] { this->objects[key] = value; },
                  std::move(done));
}

void FakeStore::getObject(const std::string &key,
                          std::function<void(bool, std::optional<std::string>)> done)
{
    auto value = std::make_shared<std::optional<std::string>>();
    this->perform(
            [this, key, value] {
                const auto position = this->objects.find(key);
                if (position != this->objects.end())
                    *value = position->second;
            },
            [done = std::move(done), value](bool answered) { done(answered, *value); });
}

} // namespace scenario
