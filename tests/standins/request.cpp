#include "standin.hpp"

#include <cpprest/base_uri.h>

namespace standin {

std::string requestPath(const geraniumpulley::net::ServerRequest &request)
{
    return web::uri::decode(web::uri(request.target).path());
}

std::string queryParameter(const geraniumpulley::net::ServerRequest &request,
                           const std::string &key)
{
    const auto query = web::uri::split_query(web::uri(request.target).query());
    const auto position = query.find(key);
    return position == query.end() ? std::string() : web::uri::decode(position->second);
}

} // namespace standin
