#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace geraniumpulley::core {

/// A strongly typed name: names of different kinds do not convert to each other.
/// \tparam Tag the kind of the name; never instantiated.
template<typename Tag>
struct Identifier
{
    std::string value;

    auto operator<=>(const Identifier &) const = default;
};

/// The id of an entry process of this system.
using NodeId = Identifier<struct NodeTag>;
/// The id of a worker VM that runs a model engine or a plain service.
using TargetId = Identifier<struct TargetTag>;
/// The name of a service of the submitted configuration.
using ServiceName = Identifier<struct ServiceTag>;
/// The name of a trainer of the submitted configuration.
using TrainerName = Identifier<struct TrainerTag>;

/// The version of the software that a target runs. What targets of different software have
/// generated does not fit together.
using SoftwareVersion = Identifier<struct SoftwareTag>;

/// Correlates the answer of a duty with the request for it; unique within one process.
enum class OperationId : std::uint64_t {};

/// Correlates an answer with the client connection of this process that waits for it.
enum class ReplyToken : std::uint64_t {};

/// The version of an accepted configuration; rises by one with each submission.
enum class ConfigurationVersion : std::uint64_t {};

/// The version of a set of model weights; rises with each publication by a trainer.
enum class WeightVersion : std::uint64_t {};

/// \return the value of a counter type as a plain integer.
template<typename Counter>
constexpr std::uint64_t number(Counter counter)
{
    return static_cast<std::uint64_t>(counter);
}

/// \return the next value of a counter. Complexity: constant.
template<typename Counter>
constexpr Counter next(Counter counter)
{
    return static_cast<Counter>(number(counter) + 1);
}

} // namespace geraniumpulley::core

template<typename Tag>
struct std::hash<geraniumpulley::core::Identifier<Tag>>
{
    std::size_t operator()(const geraniumpulley::core::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>{}(identifier.value);
    }
};
