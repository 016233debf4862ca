#include <geraniumpulley/entry/settings.hpp>

#include <geraniumpulley/codec/detail/json_reader.hpp>
#include <geraniumpulley/net/detail/event_loop.hpp>

namespace geraniumpulley::entry {
namespace {

using codec::detail::JsonReader;

constexpr const char *platformInterface = "platform";
constexpr core::Duration shortestTime = std::chrono::milliseconds(1);

std::string readAddress(JsonReader &reader, const char *key)
{
    std::string address = reader.readString(key);
    if (!net::detail::parseAddress(address))
        reader.report(key, "'" + address + "' is not an address", "ip:port");
    return address;
}

} // namespace

bool isForPlatform(const std::string &text)
{
    codec::detail::Problems problems;
    const web::json::value value = codec::detail::parseJson(text, problems);
    return value.is_object() && value.has_string_field("interface")
           && value.at("interface").as_string() == platformInterface;
}

ParsedSettings parseSettings(const std::string &text)
{
    ParsedSettings parsed;
    const web::json::value value = codec::detail::parseJson(text, parsed.problems);
    if (!parsed.problems.empty())
        return parsed;
    JsonReader reader(value, "", parsed.problems);
    Settings &settings = parsed.settings;
    if (reader.readString("interface") != platformInterface)
        reader.report("interface", "is another interface", platformInterface);
    settings.node = reader.readString("node");
    settings.dataCentre = reader.readString("data_centre");
    settings.callersAddress = readAddress(reader, "callers");
    settings.readinessAddress = readAddress(reader, "readiness");
    settings.peersAddress = readAddress(reader, "peers");
    settings.metricsAddress = reader.readString("metrics", "");
    settings.storeAddress = readAddress(reader, "store");
    settings.seeds = reader.readStrings("seeds");
    settings.stopLimit = reader.readMilliseconds("stop_limit_ms", shortestTime, settings.stopLimit);
    settings.leaseTime = reader.readMilliseconds("lease_time_ms", shortestTime, settings.leaseTime);
    if (settings.node.empty())
        reader.report("node", "is empty", "a non-empty name");
    if (!settings.metricsAddress.empty() && !net::detail::parseAddress(settings.metricsAddress))
        reader.report("metrics", "'" + settings.metricsAddress + "' is not an address", "ip:port");
    reader.finish();
    return parsed;
}

} // namespace geraniumpulley::entry
