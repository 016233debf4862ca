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

/// Inclusive bounds of an integer.
struct Range
{
    std::uint64_t min = 0;
    std::uint64_t max = std::numeric_limits<std::int64_t>::max();
};

/// Parses a JSON text. A syntax error is reported as a problem at place "", and the result is null.
web::json::value parseJson(const std::string &text, Problems &problems);

/// Reads the fields of one JSON object and collects every problem with its place in the
/// document, a JSON pointer.
///
/// A missing field reads as its fallback; without a fallback it is required and its absence is a
/// problem. A field of the wrong type or out of range is always a problem. After a problem the
/// reader returns an empty value or the smallest allowed number, and reading goes on.
class JsonReader
{
public:
    JsonReader(const web::json::value &value, std::string place, Problems &problems);

    std::string readString(const char *key, std::optional<std::string> fallback = std::nullopt);
    std::uint64_t readNumber(const char *key, Range range = {},
                             std::optional<std::uint64_t> fallback = std::nullopt);
    double readReal(const char *key, std::optional<double> fallback = std::nullopt);
    /// Reads a number that may be missing. \return nothing also after a problem.
    std::optional<double> readOptionalReal(const char *key);
    bool readBool(const char *key, std::optional<bool> fallback = std::nullopt);
    /// Reads a whole number of milliseconds, at least `minimum` and at most one day.
    core::Duration readMilliseconds(const char *key, core::Duration minimum,
                                    std::optional<core::Duration> fallback = std::nullopt);
    /// Reads an array of strings; a missing array reads as empty.
    std::vector<std::string> readStrings(const char *key);
    /// Calls `readElement` for each object of an array; a missing array reads as empty.
    void readObjects(const char *key, const std::function<void(JsonReader &)> &readElement);
    /// Calls `readFields` for a nested object; a missing object is a problem.
    void readObject(const char *key, const std::function<void(JsonReader &)> &readFields);

    /// Adds a problem with one of this object's fields; `allowed` describes the permitted values.
    void report(const char *key, std::string problem, std::string allowed);

    /// Reports every key of the object that has not been read. It must be called last.
    void reportUnknownKeys();

private:
    const web::json::value *findField(const char *key);
    const web::json::array *findArray(const char *key);

    const web::json::value &value;
    std::string place;
    Problems &problems;
    std::set<std::string> knownKeys;
};

} // namespace geraniumpulley::codec::detail
