#pragma once

#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// Typed form of the configuration that operators submit, and its validation.
namespace geraniumpulley::core {

enum class ServiceKind {
    Model, ///< The targets run a model engine that generates tokens.
    Plain, ///< The targets answer HTTP calls.
    Scorer, ///< The targets compute the reward of a finished sample.
};

/// Determines whether matching calls of a service may be repeated. The first matching rule applies;
/// a call that matches no rule may not be repeated.
struct CallRule
{
    std::string method;
    std::string pathPrefix;
    bool repeatable = false;
    std::uint32_t priority = 0; ///< Higher values are served first, lower ones are shed first.

    auto operator<=>(const CallRule &) const = default;
};

/// The treatment of a call that may not be repeated and carries no idempotency key.
enum class MissingKeyPolicy {
    Refuse, ///< The call is refused without being run.
    Derive, ///< The key is derived from the content, so a duplicate gets the first answer.
};

struct Service
{
    ServiceName name;
    ServiceKind kind = ServiceKind::Plain;
    std::vector<ServiceName> dependsOn;
    std::vector<CallRule> callRules;
    std::uint32_t maxInFlight = 32; ///< Maximum number of concurrent requests per target.
    Duration timeout = std::chrono::seconds(5); ///< Default for calls without a deadline.
    MissingKeyPolicy missingKeyPolicy = MissingKeyPolicy::Refuse;
    std::uint32_t minServingPercent = 60; ///< Minimum share of engines that serve during swaps.
    std::uint32_t maxConcurrentWeightLoads = 4; ///< Concurrent loads from the weight store.
    bool checksFencing = false; ///< Whether engines refuse orders with an old fencing token.
    std::uint32_t maxQueued = 256; ///< Maximum number of calls queued at one node for a target.
    std::uint32_t callReserve = 2; ///< Part of `maxInFlight` that rollouts leave free for calls.

    auto operator<=>(const Service &) const = default;
};

struct Trainer
{
    TrainerName name;
    ServiceName model;
    ServiceName scorer;
    std::uint32_t weight = 1; ///< Relative share of the engines among the trainers.
    std::uint64_t stalenessBound = 1; ///< Maximum lag of a sample at handover, in versions.

    auto operator<=>(const Trainer &) const = default;
};

struct Configuration
{
    std::string deployment;
    std::vector<Service> services;
    std::vector<Trainer> trainers;
};

/// A configuration together with the text from which it was parsed.
struct ConfigurationDocument
{
    ConfigurationVersion version{};
    std::string submissionId; ///< Unique per submission; identifies a commit after a lost answer.
    std::string author;
    std::string text;
    std::shared_ptr<const Configuration> configuration;
};

/// One validation error of a submitted text.
struct ConfigurationProblem
{
    std::string place; ///< JSON pointer to the faulty value, such as "/services/0/name".
    std::string problem; ///< Description of the error.
    std::string allowed; ///< Description of the permitted values.
};

enum class ChangeKind { Added, Removed, Changed };
enum class ConfigurationPart { Service, Trainer };

/// One service or trainer that differs between two configurations.
struct ConfigurationChange
{
    ConfigurationPart part = ConfigurationPart::Service;
    ChangeKind kind = ChangeKind::Changed;
    std::string name;

    auto operator<=>(const ConfigurationChange &) const = default;
};

/// \return the changes that lead from one configuration to the other, ordered by part.
/// Complexity: O(n log n) in services and trainers.
std::vector<ConfigurationChange> difference(const Configuration &from, const Configuration &to);

/// Validates the names, references, dependency cycles and limits of a configuration.
/// \return all problems; empty when the configuration is valid.
/// Complexity: O(n log n) in services, trainers and dependencies.
std::vector<ConfigurationProblem> validate(const Configuration &configuration);

/// \return the service with the given name, or null. Complexity: linear in services.
const Service *findService(const Configuration &configuration, const ServiceName &name);

/// \return the priority of a call, or 0 when no rule matches.
std::uint32_t priorityOf(const Service &service, const std::string &method,
                         const std::string &path);

/// \return whether the rules of the service permit the call to run more than once.
bool isRepeatable(const Service &service, const std::string &method, const std::string &path);

} // namespace geraniumpulley::core
