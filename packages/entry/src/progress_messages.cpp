#include "progress_messages.hpp"

#include <geraniumpulley/core/http_status.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace geraniumpulley::entry {

std::optional<core::BatchId> decodeProgressRequest(const net::ServerRequest &request)
{
    constexpr std::string_view prefix = "/v1/batches/";
    constexpr std::string_view suffix = "/progress";
    std::string_view path = request.target;
    path = path.substr(0, path.find('?'));
    if (request.method != "GET" || !path.starts_with(prefix) || !path.ends_with(suffix)
        || path.size() <= prefix.size() + suffix.size())
        return std::nullopt;
    path.remove_prefix(prefix.size());
    path.remove_suffix(suffix.size());
    return core::BatchId{std::string(path)};
}

net::ServerResponse encodeProgressAnswer(core::ReplyToken token, core::ReadVerdict verdict,
                                         std::string progress)
{
    net::ServerResponse response;
    response.token = token;
    response.contentType = "application/json";
    switch (verdict) {
    case core::ReadVerdict::Found:
        response.status = core::status::ok;
        response.body = std::move(progress);
        return response;
    case core::ReadVerdict::Unknown:
        response.status = core::status::notFound;
        response.body = R"({"error":"no such batch"})";
        return response;
    case core::ReadVerdict::StoreUnavailable:
        break;
    }
    response.status = core::status::unavailable;
    response.headers = {{"Retry-After", "0.5"}};
    response.body = R"({"error":"the owner of the batch did not reply"})";
    return response;
}

} // namespace geraniumpulley::entry
