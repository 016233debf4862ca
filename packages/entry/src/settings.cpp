#include <geraniumpulley/entry/settings.hpp>

#include <geraniumpulley/codec/detail/json_reader.hpp>
#include <geraniumpulley/net/detail/event_loop.hpp>

namespace geraniumpulley::entry {
namespace {

using codec::detail::JsonReader;

constexpr const char *platformInterface = "platform";
constexpr core::Duration minTime = std::chrono::milliseconds(1);

std::string readAddress(JsonReader &reader, const char *key)
{
    std::string address = reader.readString(key);
    if (!net::detail::parseAddress(address))
        reader.report(key, "'" + address + "' is not an address", "ip:port");
    return address;
}

std::uint32_t readCapacityMillicores(JsonReader &reader)
{
    constexpr double millicoresPerCore = 1000;
    constexpr double maxCores = 1000; // More than any machine has.
    const double share = reader.readReal("core_share", 0);
    const double speed = reader.readReal("core_speed", 1);
    const double cores = share * speed;
    if (cores >= 0 && cores <= maxCores)
        return static_cast<std::uint32_t>(cores * millicoresPerCore);
    reader.report("core_share", "is out of range", "0 to 1000 cores");
    return 0;
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
    settings.nodeName = reader.readString("node");
    settings.dataCentre = reader.readString("data_centre");
    settings.callersAddress = readAddress(reader, "callers");
    settings.readinessAddress = readAddress(reader, "readiness");
    settings.peersAddress = readAddress(reader, "peers");
    settings.metricsAddress = reader.readString("metrics", "");
    settings.storeAddress = readAddress(reader, "store");
    settings.seedAddresses = reader.readStrings("seeds");
    settings.stopTimeout = reader.readMilliseconds("stop_limit_ms", minTime, settings.stopTimeout);
    settings.leaseDuration =
            reader.readMilliseconds("lease_time_ms", minTime, settings.leaseDuration);
    settings.capacityMillicores = readCapacityMillicores(reader);
    if (settings.nodeName.empty())
        reader.report("node", "is empty", "a non-empty name");
    if (!settings.metricsAddress.empty() && !net::detail::parseAddress(settings.metricsAddress))
        reader.report("metrics", "'" + settings.metricsAddress + "' is not an address", "ip:port");
    reader.reportUnknownKeys();
    return parsed;
}

} // namespace geraniumpulley::entry
