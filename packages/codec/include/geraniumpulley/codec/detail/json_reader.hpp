#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cpprest/json.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumpulley::codec::detail {

using Problems = std::vector<core::ConfigurationProblem>;

/// Inclusive bounds of a number.
struct Range
{
    std::uint64_t least = 0;
    std::uint64_t most = std::numeric_limits<std::int64_t>::max();
};

/// Parses a text; a syntax error becomes a problem at place "" and a null value.
web::json::value parseJson(const std::string &text, Problems &problems);

/// Reads the fields of one JSON object and collects every problem with its place.
///
/// A field that is missing, of a wrong type or out of range is a problem and reads as its
/// fallback, or as an empty value where it has none and is therefore required.
class JsonReader
{
public:
    JsonReader(const web::json::value &value, std::string place, Problems &problems);

    std::string readString(const char *key, std::optional<std::string> fallback = std::nullopt);
    std::uint64_t readNumber(const char *key, Range range = {},
                             std::optional<std::uint64_t> fallback = std::nullopt);
    double readReal(const char *key, std::optional<double> fallback = std::nullopt);
    bool readBool(const char *key, std::optional<bool> fallback = std::nullopt);
    /// Reads whole milliseconds, at least `least` and at most a day.
    core::Duration readMilliseconds(const char *key, core::Duration least,
                                    std::optional<core::Duration> fallback = std::nullopt);
    /// A missing array reads as empty.
    std::vector<std::string> readStrings(const char *key);
    /// Calls `read` for each object of an array; a missing array reads as empty.
    void readObjects(const char *key, const std::function<void(JsonReader &)> &read);
    /// Calls `read` for a nested object; a missing one is a problem.
    void readObject(const char *key, const std::function<void(JsonReader &)> &read);

    /// Reports a problem of one of this object's fields.
    void report(const char *key, std::string problem, std::string allowed);

    /// Reports the keys that nothing has read. Call it last.
    void finish();

private:
    const web::json::value *find(const char *key);
    const web::json::array *findArray(const char *key);

    const web::json::value &value;
    std::string place;
    Problems &problems;
    std::set<std::string> known;
};

} // namespace geraniumpulley::codec::detail
