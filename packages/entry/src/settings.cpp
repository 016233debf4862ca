#include <geraniumpulley/entry/settings.hpp>

#include <geraniumpulley/codec/detail/json_reader.hpp>
#include <geraniumpulley/net/detail/event_loop.hpp>

#include <fmt/format.h>

#include <cctype>
#include <chrono>
#include <optional>
#include <string_view>

namespace geraniumpulley::entry {
namespace {

using codec::detail::JsonReader;

constexpr const char *platformInterface = "platform";
constexpr core::Duration minTime = std::chrono::milliseconds(1);
constexpr core::Duration maxTime = std::chrono::hours(24);

using Seconds = std::chrono::duration<double>;
using Milliseconds = std::chrono::duration<double, std::milli>;

// What the template of the deployment writes behind a number of seconds.
constexpr std::string_view appendedZeros = "000";

// Returns the text with null in the places where a template has left nothing, because the platform
// has no value, or nothing but the zeros that follow a value.
std::string fillMissingValues(std::string_view text)
{
    std::string filled;
    bool isInString = false;
    bool isValueExpected = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isSpace = std::isspace(static_cast<unsigned char>(text[i])) != 0;
        if (isValueExpected && !isSpace) {
            if (text.substr(i).starts_with(appendedZeros))
                i += appendedZeros.size();
            if (i == text.size())
                break;
            if (text[i] == ',' || text[i] == '}')
                filled += "null";
        }
        const bool isEscape = isInString && text[i] == '\\';
        if (text[i] == '"')
            isInString = !isInString;
        if (!isSpace)
            isValueExpected = !isInString && text[i] == ':';
        filled += text[i];
        if (isEscape && i + 1 < text.size())
            filled += text[++i];
    }
    return filled;
}

// Returns the settings without those that have no value, which thus read as missing.
web::json::value parseObject(const std::string &text, codec::detail::Problems &problems)
{
    web::json::value parsed = codec::detail::parseJson(fillMissingValues(text), problems);
    if (!parsed.is_object())
        return parsed;
    web::json::value present = web::json::value::object();
    for (auto &[key, field] : parsed.as_object()) {
        if (!field.is_null())
            present[key] = std::move(field);
    }
    return present;
}

std::string readAddress(JsonReader &reader, const char *key)
{
    std::string address = reader.readString(key);
    if (!net::detail::parseAddress(address))
        reader.report(key, "'" + address + "' is not an address", "ip:port");
    return address;
}

// Reads a number of time units, which may have a fraction.
template<typename Unit>
core::Duration readDuration(JsonReader &reader, const char *key, core::Duration fallback)
{
    const std::optional<double> number = reader.readOptionalReal(key);
    if (!number)
        return fallback;
    const Unit duration(*number);
    if (duration >= minTime && duration <= maxTime)
        return std::chrono::duration_cast<core::Duration>(duration);
    reader.report(
            key, "is out of range",
            fmt::format("a number from {} to {}", Unit(minTime).count(), Unit(maxTime).count()));
    return fallback;
}

// Templates up to that of 1d1d052 write "stop_limit_ms" as a number of seconds and three zeros, and
// earlier builds read only that. Without a decimal point these are milliseconds; behind one the
// zeros add nothing, and the number is one of seconds.
core::Duration readStopTimeout(JsonReader &reader, const web::json::value &settings,
                               core::Duration fallback)
{
    constexpr const char *current = "stop_limit_s";
    constexpr const char *former = "stop_limit_ms";
    if (settings.has_field(current) && settings.has_field(former))
        reader.report(former, "is given twice, also as stop_limit_s", "one of both");
    const bool isDecimal = settings.has_double_field(former);
    const core::Duration formerTimeout =
            isDecimal ? readDuration<Seconds>(reader, former, fallback)
                      : readDuration<Milliseconds>(reader, former, fallback);
    return readDuration<Seconds>(reader, current, formerTimeout);
}

// Without an address nothing is reported and no targets are ordered.
std::string readProviderAddress(JsonReader &reader)
{
    std::string address = reader.readString("provider", "");
    if (!address.empty() && !net::detail::parseAddress(address))
        reader.report("provider", "'" + address + "' is not an address", "ip:port");
    return address;
}

// Without a port the node serves no metrics.
std::string readMetricsAddress(JsonReader &reader)
{
    std::string address = reader.readString("metrics", "");
    if (address.empty() || address.ends_with(':'))
        return {};
    if (!net::detail::parseAddress(address))
        reader.report("metrics", "'" + address + "' is not an address", "ip:port");
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

// Without a value it is the memory that the system reports.
std::size_t readMemory(JsonReader &reader, std::size_t fallback)
{
    constexpr std::size_t bytesPerMegabyte = 1024 * 1024;
    constexpr std::uint64_t minMegabytes = 64;
    constexpr std::uint64_t maxMegabytes = 1024 * 1024;
    const std::optional<double> megabytes = reader.readOptionalReal("memory_mb");
    if (!megabytes)
        return fallback;
    if (*megabytes >= minMegabytes && *megabytes <= maxMegabytes)
        return static_cast<std::size_t>(*megabytes) * bytesPerMegabyte;
    reader.report("memory_mb", "is out of range",
                  fmt::format("a number from {} to {}", minMegabytes, maxMegabytes));
    return fallback;
}

} // namespace

bool isForPlatform(const std::string &text)
{
    codec::detail::Problems problems;
    const web::json::value value = parseObject(text, problems);
    return value.is_object() && value.has_string_field("interface")
           && value.at("interface").as_string() == platformInterface;
}

ParsedSettings parseSettings(const std::string &text)
{
    ParsedSettings parsed;
    const web::json::value value = parseObject(text, parsed.problems);
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
    settings.metricsAddress = readMetricsAddress(reader);
    settings.storeAddress = readAddress(reader, "store");
    settings.seedAddresses = reader.readStrings("seeds");
    settings.stopTimeout = readStopTimeout(reader, value, settings.stopTimeout);
    settings.leaseDuration =
            readDuration<Milliseconds>(reader, "lease_time_ms", settings.leaseDuration);
    settings.capacityMillicores = readCapacityMillicores(reader);
    settings.memoryBytes = readMemory(reader, settings.memoryBytes);
    settings.providerAddress = readProviderAddress(reader);
    settings.usageWindow = readDuration<Seconds>(reader, "usage_window_s", settings.usageWindow);
    settings.usageDueAfter = readDuration<Seconds>(reader, "usage_due_s", settings.usageDueAfter);
    if (settings.nodeName.empty())
        reader.report("node", "is empty", "a non-empty name");
    reader.reportUnknownKeys();
    return parsed;
}

} // namespace geraniumpulley::entry
