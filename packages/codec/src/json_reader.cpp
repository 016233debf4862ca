#include <geraniumpulley/codec/detail/json_reader.hpp>

#include <utility>

namespace geraniumpulley::codec::detail {

web::json::value parseJson(const std::string &text, Problems &problems)
{
    try {
        return web::json::value::parse(text);
    } catch (const web::json::json_exception &error) {
        problems.push_back({"", error.what(), "a JSON text"});
        return web::json::value::null();
    }
}

JsonReader::JsonReader(const web::json::value &value, std::string place, Problems &problems)
    : value(value), place(std::move(place)), problems(problems)
{
    if (!value.is_object())
        problems.push_back({this->place, "is not an object", "an object"});
}

std::string JsonReader::readString(const char *key, std::optional<std::string> fallback)
{
    const web::json::value *field = this->findField(key);
    if (field == nullptr && fallback)
        return *fallback;
    if (field != nullptr && field->is_string())
        return field->as_string();
    this->report(key, field == nullptr ? "is missing" : "is not a string", "a string");
    return {};
}

std::uint64_t JsonReader::readNumber(const char *key, Range range,
                                     std::optional<std::uint64_t> fallback)
{
    const web::json::value *field = this->findField(key);
    if (field == nullptr && fallback)
        return *fallback;
    if (field != nullptr && field->is_number() && field->as_number().is_uint64()) {
        const std::uint64_t number = field->as_number().to_uint64();
        if (number >= range.min && number <= range.max)
            return number;
    }
    this->report(key, field == nullptr ? "is missing" : "is not such a number",
                 "a whole number from " + std::to_string(range.min) + " to "
                         + std::to_string(range.max));
    return range.min;
}

double JsonReader::readReal(const char *key, std::optional<double> fallback)
{
    const web::json::value *field = this->findField(key);
    if (field == nullptr && fallback)
        return *fallback;
    if (field != nullptr && field->is_number())
        return field->as_double();
    this->report(key, field == nullptr ? "is missing" : "is not a number", "a number");
    return 0;
}

std::optional<double> JsonReader::readOptionalReal(const char *key)
{
    const web::json::value *field = this->findField(key);
    if (field == nullptr)
        return std::nullopt;
    if (field->is_number())
        return field->as_double();
    this->report(key, "is not a number", "a number");
    return std::nullopt;
}

bool JsonReader::readBool(const char *key, std::optional<bool> fallback)
{
    const web::json::value *field = this->findField(key);
    if (field == nullptr && fallback)
        return *fallback;
    if (field != nullptr && field->is_boolean())
        return field->as_bool();
    this->report(key, field == nullptr ? "is missing" : "is not a boolean", "true or false");
    return false;
}

core::Duration JsonReader::readMilliseconds(const char *key, core::Duration minimum,
                                            std::optional<core::Duration> fallback)
{
    using std::chrono::milliseconds;
    constexpr std::uint64_t maxMilliseconds = 86'400'000; // One day.
    const auto toMilliseconds = [](core::Duration duration) {
        return static_cast<std::uint64_t>(
                std::chrono::duration_cast<milliseconds>(duration).count());
    };
    std::optional<std::uint64_t> fallbackNumber;
    if (fallback)
        fallbackNumber = toMilliseconds(*fallback);
    return milliseconds(
            this->readNumber(key, {toMilliseconds(minimum), maxMilliseconds}, fallbackNumber));
}

std::vector<std::string> JsonReader::readStrings(const char *key)
{
    std::vector<std::string> strings;
    const web::json::array *array = this->findArray(key);
    if (array == nullptr)
        return strings;
    for (const web::json::value &element : *array) {
        if (element.is_string())
            strings.push_back(element.as_string());
        else
            this->report(key, "holds something else than strings", "an array of strings");
    }
    return strings;
}

void JsonReader::readObjects(const char *key, const std::function<void(JsonReader &)> &readElement)
{
    const web::json::array *array = this->findArray(key);
    if (array == nullptr)
        return;
    std::size_t index = 0;
    for (const web::json::value &element : *array) {
        JsonReader reader(element, this->place + "/" + key + "/" + std::to_string(index),
                          this->problems);
        readElement(reader);
        reader.reportUnknownKeys();
        ++index;
    }
}

void JsonReader::readObject(const char *key, const std::function<void(JsonReader &)> &readFields)
{
    const web::json::value *field = this->findField(key);
    if (field == nullptr) {
        this->report(key, "is missing", "an object");
        return;
    }
    JsonReader reader(*field, this->place + "/" + key, this->problems);
    readFields(reader);
    reader.reportUnknownKeys();
}

void JsonReader::report(const char *key, std::string problem, std::string allowed)
{
    this->problems.push_back({this->place + "/" + key, std::move(problem), std::move(allowed)});
}

void JsonReader::reportUnknownKeys()
{
    if (!this->value.is_object())
        return;
    for (const auto &[key, field] : this->value.as_object()) {
        if (this->knownKeys.contains(key))
            continue;
        std::string allowed = "one of";
        for (const std::string &name : this->knownKeys)
            allowed += " " + name;
        this->report(key.c_str(), "is not a known key", allowed);
    }
}

const web::json::value *JsonReader::findField(const char *key)
{
    this->knownKeys.insert(key);
    if (!this->value.is_object())
        return nullptr;
    const web::json::object &object = this->value.as_object();
    const auto position = object.find(key);
    return position == object.end() ? nullptr : &position->second;
}

const web::json::array *JsonReader::findArray(const char *key)
{
    const web::json::value *field = this->findField(key);
    if (field == nullptr)
        return nullptr;
    if (field->is_array())
        return &field->as_array();
    this->report(key, "is not an array", "an array");
    return nullptr;
}

} // namespace geraniumpulley::codec::detail
