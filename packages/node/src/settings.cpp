#include <geraniumpulley/node/settings.hpp>

#include <geraniumpulley/codec/detail/json_reader.hpp>
#include <geraniumpulley/net/detail/event_loop.hpp>

#include <cpprest/base_uri.h>

namespace geraniumpulley::node {
namespace {

using codec::detail::JsonReader;

std::string readAddress(JsonReader &reader, const char *key)
{
    std::string address = reader.readString(key);
    if (!net::detail::parseAddress(address))
        reader.report(key, "'" + address + "' is not an address", "ip:port");
    return address;
}

std::string readUri(JsonReader &reader, const char *key)
{
    std::string uri = reader.readString(key);
    if (!web::uri::validate(uri) || web::uri(uri).host().empty())
        reader.report(key, "'" + uri + "' is not a URI", "http://ip:port");
    return uri;
}

constexpr core::Duration minPeriod = std::chrono::milliseconds(1);

} // namespace

ParsedSettings parseSettings(const std::string &text)
{
    ParsedSettings parsed;
    const web::json::value value = codec::detail::parseJson(text, parsed.problems);
    if (!parsed.problems.empty())
        return parsed;
    JsonReader reader(value, "", parsed.problems);
    Settings &settings = parsed.settings;
    settings.nodeName = reader.readString("node");
    settings.dataCentre = reader.readString("data_centre");
    settings.callersAddress = readAddress(reader, "callers");
    settings.operatorsAddress = readAddress(reader, "operators");
    settings.peersAddress = readAddress(reader, "peers");
    settings.platformUri = readUri(reader, "platform");
    settings.seedAddresses = reader.readStrings("seeds");
    settings.controlPeriod =
            reader.readMilliseconds("control_period_ms", minPeriod, settings.controlPeriod);
    settings.drainTimeout =
            reader.readMilliseconds("drain_limit_ms", minPeriod, settings.drainTimeout);
    if (settings.nodeName.empty())
        reader.report("node", "is empty", "a non-empty name");
    reader.reportUnknownKeys();
    return parsed;
}

} // namespace geraniumpulley::node
