#include <geraniumpulley/core/accounts/client_accounts.hpp>

#include <set>
#include <utility>

namespace geraniumpulley::core {
namespace {

class AccountCategory : public std::error_category
{
public:
    [[nodiscard]] const char *name() const noexcept override { return "client accounts"; }

    [[nodiscard]] std::string message(int condition) const override
    {
        switch (static_cast<AccountErrc>(condition)) {
        case AccountErrc::EmptyName:
            return "an account has an empty name";
        case AccountErrc::RepeatedName:
            return "two accounts have the same name";
        case AccountErrc::EmptyKey:
            return "an account has an empty key";
        case AccountErrc::RepeatedKey:
            return "a key is listed twice";
        }
        return "unknown error";
    }
};

constexpr char separator = '/';
constexpr std::string_view escapedSeparator = "%2F";
constexpr std::string_view escapedPercent = "%25";

// Escapes the separator, so that the account ends at the first one.
std::string escape(const std::string &name)
{
    std::string escaped;
    for (const char character : name) {
        if (character == separator)
            escaped += escapedSeparator;
        else if (character == '%')
            escaped += escapedPercent;
        else
            escaped += character;
    }
    return escaped;
}

std::string unescape(std::string_view escaped)
{
    std::string name;
    while (!escaped.empty()) {
        std::size_t consumed = 1;
        if (escaped.starts_with(escapedSeparator)) {
            name += separator;
            consumed = escapedSeparator.size();
        } else if (escaped.starts_with(escapedPercent)) {
            name += '%';
            consumed = escapedPercent.size();
        } else {
            name += escaped.front();
        }
        escaped.remove_prefix(consumed);
    }
    return name;
}

} // namespace

std::error_code make_error_code(AccountErrc error) noexcept
{
    static const AccountCategory category;
    return {static_cast<int>(error), category};
}

Result<ClientAccounts> ClientAccounts::create(const std::vector<ClientAccount> &accounts)
{
    ClientAccounts created;
    std::set<AccountName> names;
    for (const ClientAccount &account : accounts) {
        if (account.name.value.empty())
            return make_error_code(AccountErrc::EmptyName);
        if (!names.insert(account.name).second)
            return make_error_code(AccountErrc::RepeatedName);
        for (const std::string &key : account.keys) {
            if (key.empty())
                return make_error_code(AccountErrc::EmptyKey);
            if (!created.accountsByKey.emplace(key, created.names.size()).second)
                return make_error_code(AccountErrc::RepeatedKey);
        }
        created.names.push_back(account.name);
    }
    return created;
}

const AccountName *ClientAccounts::find(std::string_view key) const
{
    const auto position = this->accountsByKey.find(key);
    return position == this->accountsByKey.end() ? nullptr : &this->names[position->second];
}

BatchId qualifyBatchId(const std::optional<AccountName> &account, const std::string &clientId)
{
    if (!account)
        return {clientId};
    return {escape(account->value) + separator + clientId};
}

std::optional<AccountName> accountOf(const BatchId &batch)
{
    const std::size_t end = batch.value.find(separator);
    if (end == std::string::npos)
        return std::nullopt;
    return AccountName{unescape(std::string_view(batch.value).substr(0, end))};
}

std::string clientIdOf(const BatchId &batch)
{
    const std::size_t end = batch.value.find(separator);
    return end == std::string::npos ? batch.value : batch.value.substr(end + 1);
}

} // namespace geraniumpulley::core
