#include <geraniumpulley/core/configuration/configuration.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace geraniumpulley::core {
namespace {

using Problems = std::vector<ConfigurationProblem>;

constexpr std::uint32_t minServingPercentLimit = 99;

std::string servicePointer(std::size_t index, const char *field)
{
    return "/services/" + std::to_string(index) + "/" + field;
}

std::string trainerPointer(std::size_t index, const char *field)
{
    return "/trainers/" + std::to_string(index) + "/" + field;
}

void checkServiceNames(const Configuration &configuration, Problems &problems)
{
    std::set<ServiceName> seen;
    for (std::size_t i = 0; i < configuration.services.size(); ++i) {
        const ServiceName &name = configuration.services[i].name;
        if (name.value.empty())
            problems.push_back({servicePointer(i, "name"), "is empty", "a non-empty name"});
        else if (!seen.insert(name).second)
            problems.push_back({servicePointer(i, "name"), "'" + name.value + "' is a duplicate",
                                "a name used once"});
    }
}

void checkServiceLimits(const Configuration &configuration, Problems &problems)
{
    for (std::size_t i = 0; i < configuration.services.size(); ++i) {
        const Service &service = configuration.services[i];
        if (service.maxInFlight == 0)
            problems.push_back({servicePointer(i, "max_in_flight"), "is 0", "1 or more"});
        if (service.kind == ServiceKind::Model && service.callReserve >= service.maxInFlight)
            problems.push_back({servicePointer(i, "call_reserve"), "leaves rollouts nothing",
                                "less than max_in_flight"});
        if (service.timeout <= Duration::zero())
            problems.push_back({servicePointer(i, "timeout_ms"), "is not positive", "1 or more"});
        if (service.minServingPercent > minServingPercentLimit)
            problems.push_back({servicePointer(i, "min_serving_percent"),
                                "leaves no engine to swap weights", "0 to 99"});
        if (service.maxConcurrentWeightLoads == 0)
            problems.push_back({servicePointer(i, "weight_loads_at_once"), "is 0", "1 or more"});
    }
}

void checkDependencies(const Configuration &configuration, Problems &problems)
{
    for (std::size_t i = 0; i < configuration.services.size(); ++i) {
        const Service &service = configuration.services[i];
        for (std::size_t k = 0; k < service.dependsOn.size(); ++k) {
            if (findService(configuration, service.dependsOn[k]) != nullptr)
                continue;
            problems.push_back({servicePointer(i, "depends_on/") + std::to_string(k),
                                "'" + service.dependsOn[k].value + "' is not a service",
                                "the name of a listed service"});
        }
    }
}

enum class VisitState { Unvisited, InProgress, Done };

// Searches depth-first; an edge to a service that is still in progress closes a cycle.
bool closesCycle(const Configuration &configuration, const Service &service,
                 std::map<ServiceName, VisitState> &visits)
{
    VisitState &visit = visits[service.name];
    if (visit != VisitState::Unvisited)
        return visit == VisitState::InProgress;
    visit = VisitState::InProgress;
    const bool found =
            std::any_of(service.dependsOn.begin(), service.dependsOn.end(), [&](const auto &name) {
                const Service *dependency = findService(configuration, name);
                return dependency != nullptr && closesCycle(configuration, *dependency, visits);
            });
    visits[service.name] = VisitState::Done;
    return found;
}

void checkCycles(const Configuration &configuration, Problems &problems)
{
    std::map<ServiceName, VisitState> visits;
    for (std::size_t i = 0; i < configuration.services.size(); ++i) {
        if (closesCycle(configuration, configuration.services[i], visits))
            problems.push_back({servicePointer(i, "depends_on"), "closes a dependency cycle",
                                "dependencies without a cycle"});
    }
}

void checkTrainerReference(const Configuration &configuration, const ServiceName &name,
                           ServiceKind kind, const std::string &place, Problems &problems)
{
    const Service *service = findService(configuration, name);
    if (service == nullptr)
        problems.push_back(
                {place, "'" + name.value + "' is not a service", "the name of a listed service"});
    else if (service->kind != kind)
        problems.push_back({place, "'" + name.value + "' is of another kind",
                            kind == ServiceKind::Model ? "a service of kind model"
                                                       : "a service of kind scorer"});
}

void checkTrainers(const Configuration &configuration, Problems &problems)
{
    std::set<TrainerName> seen;
    for (std::size_t i = 0; i < configuration.trainers.size(); ++i) {
        const Trainer &trainer = configuration.trainers[i];
        if (trainer.name.value.empty())
            problems.push_back({trainerPointer(i, "name"), "is empty", "a non-empty name"});
        else if (!seen.insert(trainer.name).second)
            problems.push_back({trainerPointer(i, "name"),
                                "'" + trainer.name.value + "' is a duplicate", "a name used once"});
        if (trainer.weight == 0)
            problems.push_back({trainerPointer(i, "weight"), "is 0", "1 or more"});
        checkTrainerReference(configuration, trainer.model, ServiceKind::Model,
                              trainerPointer(i, "model"), problems);
        checkTrainerReference(configuration, trainer.scorer, ServiceKind::Scorer,
                              trainerPointer(i, "scorer"), problems);
    }
}

const CallRule *findRule(const Service &service, const std::string &method, const std::string &path)
{
    const auto rule = std::find_if(
            service.callRules.begin(), service.callRules.end(), [&](const CallRule &candidate) {
                return candidate.method == method && path.starts_with(candidate.pathPrefix);
            });
    return rule == service.callRules.end() ? nullptr : &*rule;
}

} // namespace

std::vector<ConfigurationProblem> validate(const Configuration &configuration)
{
    Problems problems;
    if (configuration.services.empty())
        problems.push_back({"/services", "is empty", "one service or more"});
    checkServiceNames(configuration, problems);
    checkServiceLimits(configuration, problems);
    checkDependencies(configuration, problems);
    checkCycles(configuration, problems);
    checkTrainers(configuration, problems);
    return problems;
}

const Service *findService(const Configuration &configuration, const ServiceName &name)
{
    const auto found = std::find_if(configuration.services.begin(), configuration.services.end(),
                                    [&](const Service &service) { return service.name == name; });
    return found == configuration.services.end() ? nullptr : &*found;
}

std::uint32_t priorityOf(const Service &service, const std::string &method, const std::string &path)
{
    const CallRule *rule = findRule(service, method, path);
    return rule == nullptr ? 0 : rule->priority;
}

bool isRepeatable(const Service &service, const std::string &method, const std::string &path)
{
    const CallRule *rule = findRule(service, method, path);
    return rule != nullptr && rule->repeatable;
}

} // namespace geraniumpulley::core
