#include "command.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <sstream>

namespace scenario {
namespace {

using geraniumpulley::core::Duration;
using Words = std::vector<std::string>;

constexpr const char *optionPrefix = "[";

Words splitWords(const std::string &line)
{
    std::istringstream stream(line.substr(0, line.find('#')));
    Words words;
    for (std::string word; stream >> word;)
        words.push_back(word);
    return words;
}

bool isPlaceholder(const std::string &word)
{
    return std::isupper(static_cast<unsigned char>(word.front())) != 0;
}

std::optional<std::uint64_t> parseNumber(const std::string &text, std::size_t &parsedLength)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    parsedLength = static_cast<std::size_t>(end - text.data());
    return error == std::errc{} ? std::optional(number) : std::nullopt;
}

std::optional<Duration> parseDuration(const std::string &text)
{
    std::size_t parsedLength = 0;
    const auto number = parseNumber(text, parsedLength);
    if (!number)
        return std::nullopt;
    const auto count = static_cast<Duration::rep>(*number);
    const std::string unit = text.substr(parsedLength);
    if (unit == "us")
        return std::chrono::microseconds(count);
    if (unit == "ms")
        return std::chrono::milliseconds(count);
    if (unit == "s")
        return std::chrono::seconds(count);
    if (unit == "min")
        return std::chrono::minutes(count);
    return std::nullopt;
}

bool isUnsignedInteger(const std::string &text)
{
    std::size_t parsedLength = 0;
    return parseNumber(text, parsedLength) && parsedLength == text.size();
}

bool isValidArgument(const std::string &placeholder, const std::string &word)
{
    if (placeholder == "DURATION")
        return parseDuration(word).has_value();
    if (placeholder == "NUMBER" || placeholder == "GROUPS" || placeholder == "SIZE")
        return isUnsignedInteger(word);
    return true;
}

// Optional arguments are `[keyword PLACEHOLDER]` pairs at the end of a pattern, in any order.
bool parseOptions(const Words &pattern, std::size_t firstOption, const Words &words,
                  Command &command)
{
    if ((words.size() - firstOption) % 2 != 0)
        return false;
    for (std::size_t i = firstOption; i < words.size(); i += 2) {
        const auto option = std::find(pattern.begin(), pattern.end(), optionPrefix + words[i]);
        if (option == pattern.end())
            return false;
        const std::string placeholder = std::next(option)->substr(0, std::next(option)->size() - 1);
        const bool isFirst = command.arguments.emplace(placeholder, words[i + 1]).second;
        if (!isFirst || !isValidArgument(placeholder, words[i + 1]))
            return false;
    }
    return true;
}

bool matchPattern(const std::string &patternText, const Words &words, Command &command)
{
    const Words pattern = splitWords(patternText);
    command.pattern = patternText;
    command.arguments.clear();
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        if (pattern[i].starts_with(optionPrefix))
            return parseOptions(pattern, i, words, command);
        if (i >= words.size())
            return false;
        if (!isPlaceholder(pattern[i])) {
            if (pattern[i] != words[i])
                return false;
        } else if (isValidArgument(pattern[i], words[i])) {
            command.arguments[pattern[i]] = words[i];
        } else {
            return false;
        }
    }
    return words.size() == pattern.size();
}

std::string makeProblem(std::size_t lineNumber, const Words &words)
{
    const std::string prefix = "line " + std::to_string(lineNumber) + ": ";
    std::string usages;
    for (const std::string &pattern : commandPatterns()) {
        if (splitWords(pattern).front() == words.front())
            usages += (usages.empty() ? "" : " | ") + pattern;
    }
    if (usages.empty())
        return prefix + "unknown verb '" + words.front() + "'";
    return prefix + "usage: " + usages;
}

} // namespace

const std::vector<std::string> &commandPatterns()
{
    static const std::vector<std::string> table = {
            "node NODE in CENTRE",
            "target TARGET runs SERVICE in CENTRE",
            "submit NAME FILE at NODE by AUTHOR on NUMBER",
            "call NAME SERVICE METHOD PATH at NODE [key KEY] [within DURATION]",
            "open NAME TRAINER NUMBER at NODE groups GROUPS size SIZE version VERSION",
            "follow NAME at NODE",
            "kill PART",
            "freeze PART",
            "wake PART",
            "start PART",
            "stop NODE",
            "leave TARGET",
            "weights TARGET NUMBER",
            "slow TARGET DURATION",
            "answers TARGET FAULT",
            "mark TARGET",
            "cut PLACE OTHER",
            "mend PLACE OTHER",
            "store down",
            "store up",
            "store slow DURATION",
            "store loses answers",
            "store loses requests",
            "vms lag DURATION",
            "advance DURATION",
            "expect version NODE VALUE [within DURATION]",
            "expect ready NODE VALUE [within DURATION]",
            "expect nodes NODE VALUE [within DURATION]",
            "expect targets NODE VALUE [within DURATION]",
            "expect stopped NODE VALUE [within DURATION]",
            "expect verdict NAME VALUE [within DURATION]",
            "expect outcome NAME VALUE [within DURATION]",
            "expect reason NAME VALUE [within DURATION]",
            "expect step NAME VALUE [within DURATION]",
            "expect runs NAME VALUE [within DURATION]",
            "expect work TARGET VALUE [within DURATION]",
            "expect audit rows VALUE [within DURATION]",
    };
    return table;
}

ParsedScenario parseScenario(const std::string &text)
{
    ParsedScenario parsed;
    std::istringstream stream(text);
    std::size_t lineNumber = 0;
    for (std::string line; std::getline(stream, line);) {
        ++lineNumber;
        const Words words = splitWords(line);
        if (words.empty())
            continue;
        Command command;
        command.lineNumber = lineNumber;
        const bool isKnown = std::any_of(
                commandPatterns().begin(), commandPatterns().end(),
                [&](const std::string &pattern) { return matchPattern(pattern, words, command); });
        if (isKnown)
            parsed.commands.push_back(command);
        else
            parsed.problems.push_back(makeProblem(lineNumber, words));
    }
    return parsed;
}

bool Command::hasArgument(const std::string &placeholder) const
{
    return this->arguments.contains(placeholder);
}

const std::string &Command::argument(const std::string &placeholder) const
{
    return this->arguments.at(placeholder);
}

std::uint64_t Command::number(const std::string &placeholder) const
{
    return std::stoull(this->argument(placeholder));
}

Duration Command::duration(const std::string &placeholder) const
{
    return parseDuration(this->argument(placeholder)).value();
}

} // namespace scenario
