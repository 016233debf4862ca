#pragma once

#include <geraniumpulley/core/time.hpp>
#include <geraniumpulley/net/http_door.hpp>

#include <functional>
#include <string>
#include <vector>

/// Stand-ins for the systems outside: they keep ledgers and can be told to fail.
namespace standin {

/// What a stand-in answers, and how long it takes to.
struct Reply
{
    std::uint32_t status = 200;
    std::string body = "{}";
    geraniumpulley::core::Duration delay{};
    /// When set, `body` is a part of an answer in chunks; called for the next one once this one is
    /// sent.
    std::function<Reply()> next = {};
    bool cut = false; ///< Cuts the connection in place of this part.
    std::vector<geraniumpulley::net::HttpHeader> headers = {};
};

/// Serves one request; runs on one thread, so it needs no locks.
using Service = std::function<Reply(const geraniumpulley::net::DoorRequest &)>;

Service makePlatform();
Service makeEngine();
Service makePlainService();
Service makeScorer();
/// The table service of the users' platform.
Service makeRowStore();
/// A worker of the users' platform: a model engine and a plain service in one.
Service makeWorker();

/// \return the part of a request's target before the query.
std::string pathOf(const geraniumpulley::net::DoorRequest &request);
/// \return the value of a query parameter, or "".
std::string queryOf(const geraniumpulley::net::DoorRequest &request, const std::string &key);

} // namespace standin
