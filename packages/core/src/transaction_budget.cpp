#include <geraniumpulley/core/transaction_budget.hpp>

#include <algorithm>

namespace geraniumpulley::core {
namespace {

// Punctuation, field names and a version number of one entry.
constexpr std::size_t entryBytes = 96;
// A character of a name that has to be escaped takes up to six.
constexpr std::size_t maxEscapedBytes = 6;
// Values are sent in base64.
constexpr std::size_t base64Input = 3;
constexpr std::size_t base64Output = 4;

bool reserve(TransactionBudget &budget, std::size_t entries, std::size_t bytes)
{
    if (entries > budget.entries || bytes > budget.bytes)
        return false;
    budget.entries -= entries;
    budget.bytes -= bytes;
    return true;
}

} // namespace

bool reserveValue(TransactionBudget &budget, std::size_t valueBytes, std::size_t nameBytes)
{
    const std::size_t rows = std::max<std::size_t>(1, (valueBytes + maxRowBytes - 1) / maxRowBytes);
    // Each row is padded by itself.
    const std::size_t encodedBytes =
            (valueBytes / base64Input + rows) * base64Output + base64Output;
    return reserve(budget, rows, rows * (entryBytes + nameBytes * maxEscapedBytes) + encodedBytes);
}

bool reserveNames(TransactionBudget &budget, std::size_t count, std::size_t nameBytes)
{
    return reserve(budget, count, count * (entryBytes + nameBytes * maxEscapedBytes));
}

} // namespace geraniumpulley::core
