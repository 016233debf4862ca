#include "standin.hpp"

#include <cpprest/json.h>

#include <memory>
#include <utility>
#include <vector>

namespace standin {
namespace {

using geraniumpulley::net::ServerRequest;
using web::json::value;

// An application service. It records the requests that it executes, in order.
struct PlainService
{
    std::vector<value> executedRequests;

    Reply serve(const ServerRequest &request)
    {
        if (requestPath(request) == "/_ledger")
            return {200, value::array(this->executedRequests).serialize(), {}};
        value entry = value::object();
        entry["method"] = value::string(request.method);
        entry["path"] = value::string(request.target);
        entry["body"] = value::string(request.body);
        this->executedRequests.push_back(entry);
        value body = value::object();
        body["ran"] = std::move(entry);
        body["run"] = value::number(static_cast<std::uint64_t>(this->executedRequests.size()));
        return {200, body.serialize(), {}};
    }
};

} // namespace

Service makePlainService()
{
    auto service = std::make_shared<PlainService>();
    return [service](const ServerRequest &request) { return service->serve(request); };
}

} // namespace standin
