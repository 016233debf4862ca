#pragma once

#include <geraniumpulley/core/batch/batch_head.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/result.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

/// The accounts of clients and their keys.
namespace geraniumpulley::core {

/// The name of a client account.
using AccountName = Identifier<struct AccountTag>;

/// Errors in the accounts of a routing table.
enum class AccountErrc {
    EmptyName = 1,
    RepeatedName, ///< Two accounts have the same name.
    EmptyKey,
    RepeatedKey, ///< Two accounts have the same key, or one has it twice.
};

std::error_code
make_error_code(AccountErrc error) noexcept; // NOLINT(readability-identifier-naming): ADL

/// An account as the operators describe it.
struct ClientAccount
{
    AccountName name;
    std::vector<std::string> keys; ///< An account without keys makes no requests.
};

/// The accounts of a routing table, by their keys.
class ClientAccounts
{
public:
    /// Errors: `AccountErrc`.
    static Result<ClientAccounts> create(const std::vector<ClientAccount> &accounts);

    /// \return the account that holds the key, or null. Complexity: logarithmic in the keys.
    [[nodiscard]] const AccountName *find(std::string_view key) const;

    /// \return the number of accounts.
    [[nodiscard]] std::size_t size() const { return this->names.size(); }

private:
    ClientAccounts() = default;

    std::vector<AccountName> names;
    std::map<std::string, std::size_t, std::less<>> accountsByKey;
};

/// \return the id under which this system keeps a batch: the id that the client chose, qualified by
/// the account, so that equal ids of different accounts are different batches.
BatchId qualifyBatchId(const std::optional<AccountName> &account, const std::string &clientId);

/// \return the account in a qualified id, or nothing for an id without one.
std::optional<AccountName> accountOf(const BatchId &batch);

/// \return the id that the client chose.
std::string clientIdOf(const BatchId &batch);

} // namespace geraniumpulley::core

template<>
struct std::is_error_code_enum<geraniumpulley::core::AccountErrc> : std::true_type
{
};
