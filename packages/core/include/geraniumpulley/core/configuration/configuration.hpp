#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// The one text that operators submit, as typed data, and the checks on it.
namespace geraniumpulley::core {

enum class ServiceKind {
    Model, ///< Workers run a model engine that generates tokens.
    Plain, ///< Workers answer HTTP calls.
    Scorer, ///< Workers give a reward to a finished sample.
};

/// Which calls of a service may be repeated. The first rule that matches decides; a call that no
/// rule matches may not be repeated.
struct CallRule
{
    std::string method;
    std::string pathPrefix;
    bool repeatable = false;
    std::uint32_t priority = 0; ///< Higher is served first, lower is shed first.

    auto operator<=>(const CallRule &) const = default;
};

/// What becomes of a call that may not be repeated and carries no idempotency key.
enum class WithoutKey {
    Refuse, ///< It is refused as not run.
    Derive, ///< Its content is its key: a retyped order gets the first one's answer.
};

struct Service
{
    ServiceName name;
    ServiceKind kind = ServiceKind::Plain;
    std::vector<ServiceName> dependsOn;
    std::vector<CallRule> calls;
    std::uint32_t maxInFlight = 32; ///< Requests at one target at a time.
    Duration timeout = std::chrono::seconds(5); ///< Used where a caller names no deadline.
    WithoutKey withoutKey = WithoutKey::Refuse;
    std::uint32_t minServingPercent = 60; ///< Engines that serve while others swap weights.
    std::uint32_t weightLoadsAtOnce = 4; ///< Loads that the weight store serves at a time.
    bool checksFencing = false; ///< Its engines refuse orders with an old fencing number.
    std::uint32_t maxQueued = 256; ///< Calls that wait at one node for a target.
    std::uint32_t callReserve = 2; ///< Of `maxInFlight`, what rollouts leave free for calls.

    auto operator<=>(const Service &) const = default;
};

struct Trainer
{
    TrainerName name;
    ServiceName model;
    ServiceName scorer;
    std::uint32_t weight = 1; ///< Share of the engines relative to other trainers.
    std::uint64_t stalenessBound = 1; ///< Versions that a sample may lag behind at hand-over.

    auto operator<=>(const Trainer &) const = default;
};

struct Configuration
{
    std::string deployment;
    std::vector<Service> services;
    std::vector<Trainer> trainers;
};

/// A configuration together with the text that it came from.
struct ConfigurationDocument
{
    ConfigurationVersion version{};
    std::string submissionId; ///< Unique for each submission; resolves a lost commit answer.
    std::string author;
    std::string text;
    std::shared_ptr<const Configuration> configuration;
};

/// One fault of a submitted text.
struct ConfigurationProblem
{
    std::string place; ///< JSON pointer into the text, such as "/services/0/name".
    std::string problem;
    std::string allowed;
};

enum class ChangeKind { Added, Removed, Changed };
enum class ConfigurationPart { Service, Trainer };

/// One service or trainer in which two configurations differ.
struct ConfigurationChange
{
    ConfigurationPart part = ConfigurationPart::Service;
    ChangeKind kind = ChangeKind::Changed;
    std::string name;

    auto operator<=>(const ConfigurationChange &) const = default;
};

/// \return what has to change to get from one configuration to the other, by part and name.
/// Complexity: linear in services and trainers, times a logarithm.
std::vector<ConfigurationChange> difference(const Configuration &from, const Configuration &to);

/// Checks a configuration as a whole: names, references, dependency cycles, limits.
/// \return all problems, empty when the configuration may be submitted.
/// Complexity: linear in services, trainers and dependencies, times a logarithm.
std::vector<ConfigurationProblem> validate(const Configuration &configuration);

/// \return the service of that name, or null. Complexity: linear in services.
const Service *findService(const Configuration &configuration, const ServiceName &name);

/// \return the priority of a call; 0 when no rule matches.
std::uint32_t priorityOf(const Service &service, const std::string &method,
                         const std::string &path);

/// \return whether the service's rules allow this call to run more than once.
bool isRepeatable(const Service &service, const std::string &method, const std::string &path);

} // namespace geraniumpulley::core
