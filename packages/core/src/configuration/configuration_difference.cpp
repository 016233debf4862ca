#include <geraniumpulley/core/configuration/configuration.hpp>

#include <map>

namespace geraniumpulley::core {
namespace {

using Changes = std::vector<ConfigurationChange>;

template<typename Part>
std::map<std::string, const Part *> byName(const std::vector<Part> &parts)
{
    std::map<std::string, const Part *> named;
    for (const Part &part : parts)
        named.emplace(part.name.value, &part);
    return named;
}

template<typename Part>
void compare(ConfigurationPart kind, const std::vector<Part> &from, const std::vector<Part> &to,
             Changes &changes)
{
    const auto before = byName(from);
    const auto after = byName(to);
    for (const auto &[name, part] : before) {
        const auto position = after.find(name);
        if (position == after.end())
            changes.push_back({kind, ChangeKind::Removed, name});
        else if (*position->second != *part)
            changes.push_back({kind, ChangeKind::Changed, name});
    }
    for (const auto &[name, part] : after) {
        if (!before.contains(name))
            changes.push_back({kind, ChangeKind::Added, name});
    }
}

} // namespace

std::vector<ConfigurationChange> difference(const Configuration &from, const Configuration &to)
{
    Changes changes;
    compare(ConfigurationPart::Service, from.services, to.services, changes);
    compare(ConfigurationPart::Trainer, from.trainers, to.trainers, changes);
    return changes;
}

} // namespace geraniumpulley::core
