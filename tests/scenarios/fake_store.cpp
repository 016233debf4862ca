#include "fake_store.hpp"

#include <algorithm>
#include <memory>

namespace scenario {
namespace {

using namespace geraniumpulley;

constexpr Duration latency = std::chrono::milliseconds(4);
constexpr Duration clientTimeout = std::chrono::seconds(2);

} // namespace

// The effect comes half-way, so that a fault may fall on either side of it.
void FakeStore::perform(std::function<void()> effect, std::function<void(bool)> done)
{
    const Duration oneWay = this->simulation.jitter(latency) + this->slowness;
    const Time deadline = this->simulation.now + clientTimeout;
    this->simulation.after(oneWay, [this, effect = std::move(effect), done = std::move(done),
                                    deadline]() mutable {
        const StoreFault active = this->fault;
        const bool happens = active != StoreFault::Down && active != StoreFault::LosesRequests;
        if (happens)
            effect();
        const Time answer = this->simulation.now + this->simulation.jitter(latency);
        const bool answered = happens && active != StoreFault::LosesAnswers && answer <= deadline;
        this->simulation.at(answered ? answer : deadline,
                            [done = std::move(done), answered] { done(answered); });
    });
}

core::CommitResult FakeStore::commit(const codec::TableTransaction &transaction)
{
    const bool holds = std::all_of(
            transaction.checks.begin(), transaction.checks.end(), [this](const auto &check) {
                const auto row = this->rows.find(check.key);
                return check.version == (row == this->rows.end() ? 0 : row->second.version);
            });
    if (!holds)
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

void FakeStore::select(const std::function<bool(const std::string &)> &wanted,
                       std::function<void(std::optional<std::vector<codec::TableRow>>)> done)
{
    auto found = std::make_shared<std::vector<codec::TableRow>>();
    this->perform(
            [this, wanted, found] {
                for (const auto &[key, row] : this->rows) {
                    if (wanted(key))
                        found->push_back(row);
                }
            },
            [done = std::move(done), found](bool answered) {
                done(answered ? std::optional(*found) : std::nullopt);
            });
}

void FakeStore::read(const std::string &prefix,
                     std::function<void(std::optional<std::vector<codec::TableRow>>)> done)
{
    this->select([prefix](const std::string &key) { return key.starts_with(prefix); },
                 std::move(done));
}

void FakeStore::readRow(const std::string &key,
                        std::function<void(std::optional<std::vector<codec::TableRow>>)> done)
{
    this->select([key](const std::string &candidate) { return candidate == key; }, std::move(done));
}

void FakeStore::putObject(const std::string &key, std::string value, std::function<void(bool)> done)
{
    this->perform([this, key, value = std::move(value)] { this->objects[key] = value; },
                  std::move(done));
}

void FakeStore::getObject(const std::string &key,
                          std::function<void(bool, std::optional<std::string>)> done)
{
    auto found = std::make_shared<std::optional<std::string>>();
    this->perform(
            [this, key, found] {
                const auto position = this->objects.find(key);
                if (position != this->objects.end())
                    *found = position->second;
            },
            [done = std::move(done), found](bool answered) { done(answered, *found); });
}

} // namespace scenario
