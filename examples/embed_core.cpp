// Uses the core library alone, which has no input or output, to validate a configuration.
#include <geraniumpulley/core/configuration/configuration.hpp>

#include <cstdio>

using namespace geraniumpulley::core;

int main()
{
    Configuration configuration;
    Service orders;
    orders.name = {"orders"};
    orders.dependsOn = {{"stock"}};
    configuration.services = {orders};

    const std::vector<ConfigurationProblem> problems = validate(configuration);
    for (const ConfigurationProblem &problem : problems)
        std::printf("%s %s\n", problem.place.c_str(), problem.problem.c_str());
    return problems.size() == 1 ? 0 : 1;
}
