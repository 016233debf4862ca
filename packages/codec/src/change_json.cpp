#include <geraniumpulley/codec/detail/change_json.hpp>

#include <utility>

namespace geraniumpulley::codec::detail {
namespace {

using web::json::value;

const char *nameOf(core::ChangeKind kind)
{
    switch (kind) {
    case core::ChangeKind::Added:
        return "added";
    case core::ChangeKind::Removed:
        return "removed";
    case core::ChangeKind::Changed:
        return "changed";
    }
    return "changed";
}

} // namespace

value encodeChanges(const std::vector<core::ConfigurationChange> &changes)
{
    std::vector<value> encoded;
    for (const core::ConfigurationChange &change : changes) {
        value entry = value::object();
        const bool isService = change.part == core::ConfigurationPart::Service;
        entry["part"] = value::string(isService ? "service" : "trainer");
        entry["name"] = value::string(change.name);
        entry["change"] = value::string(nameOf(change.kind));
        encoded.push_back(std::move(entry));
    }
    return value::array(std::move(encoded));
}

} // namespace geraniumpulley::codec::detail
