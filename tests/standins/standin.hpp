#pragma once

#include <geraniumpulley/core/time.hpp>
#include <geraniumpulley/net/http_server.hpp>

#include <functional>
#include <string>
#include <vector>

/// Stand-ins for external systems. They record the requests that they execute, and tests can make
/// them fail.
namespace standin {

/// An answer of a stand-in, or one part of a chunked answer, with the time before it is sent.
struct Reply
{
    std::uint32_t status = 200;
    std::string body = "{}";
    geraniumpulley::core::Duration delay{};
    /// Set when the answer is chunked and `body` is not its last chunk. Called for the next chunk
    /// once this one has been sent.
    std::function<Reply()> nextPart = {};
    bool abortsConnection =
            false; ///< Whether the connection is aborted instead of sending this part.
    std::vector<geraniumpulley::net::HttpHeader> headers = {};
    std::string contentType = "application/json";
};

/// Serves one request. Calls are serialized, so a service needs no locks.
using Service = std::function<Reply(const geraniumpulley::net::ServerRequest &)>;

/// Creates the platform's table service, object store and list of VMs.
Service makePlatform();
/// Creates a model engine that streams tokens in real time.
Service makeEngine();
/// Creates an application service.
Service makePlainService();
/// Creates a scorer, which derives a reward from a text.
Service makeScorer();
/// Creates the table service of the users' platform.
Service makeRowStore();
/// Creates a worker of the users' platform, which is a model engine or a plain service.
Service makeWorker();

/// \return the decoded path of a request's target, without the query.
std::string requestPath(const geraniumpulley::net::ServerRequest &request);
/// \return the decoded value of a query parameter, or "".
std::string queryParameter(const geraniumpulley::net::ServerRequest &request,
                           const std::string &key);

} // namespace standin
