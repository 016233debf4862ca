#include <geraniumpulley/codec/progress_messages.hpp>

#include <cpprest/json.h>

#include <chrono>
#include <map>
#include <utility>
#include <vector>

namespace geraniumpulley::codec {
namespace {

using web::json::value;

const char *stateNameOf(core::WaitReason reason)
{
    switch (reason) {
    case core::WaitReason::Engine:
        return "waiting_for_engine";
    case core::WaitReason::Text:
        return "running";
    case core::WaitReason::Score:
        return "waiting_for_score";
    case core::WaitReason::Store:
        return "waiting_for_store";
    }
    return "unknown";
}

value encodeItem(const core::MissingItem &item)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(item.waitTime);
    value encoded = value::object();
    encoded["id"] = value::string(item.id.value);
    encoded["state"] = value::string(stateNameOf(item.waitsFor));
    encoded["target"] = value::string(item.target.value);
    encoded["data_centre"] = value::string(item.dataCentre);
    encoded["cause"] = value::string(nameOf(item.cause));
    encoded["events"] = value::number(item.events);
    encoded["wait_ms"] = value::number(static_cast<std::int64_t>(waitMs.count()));
    return encoded;
}

} // namespace

const char *nameOf(core::RunCause cause)
{
    switch (cause) {
    case core::RunCause::First:
        return "first";
    case core::RunCause::AfterLoss:
        return "after_loss";
    case core::RunCause::AfterRefusal:
        return "after_refusal";
    case core::RunCause::AfterFailure:
        return "after_failure";
    case core::RunCause::Moved:
        return "moved";
    case core::RunCause::TakenOver:
        return "taken_over";
    }
    return "unknown";
}

std::string encodeProgress(const core::BatchId &batch, const core::BatchProgress &progress)
{
    std::map<std::string, std::vector<value>> itemsByGroup;
    for (const core::MissingItem &item : progress.missingItems)
        itemsByGroup[item.group].push_back(encodeItem(item));
    std::vector<value> groups;
    for (auto &[group, items] : itemsByGroup) {
        value encoded = value::object();
        encoded["group"] = value::string(group);
        encoded["items"] = value::array(std::move(items));
        groups.push_back(std::move(encoded));
    }
    value encoded = value::object();
    encoded["batch"] = value::string(batch.value);
    encoded["total"] = value::number(progress.itemCount);
    encoded["listed"] = value::number(progress.listedCount);
    encoded["groups"] = value::array(std::move(groups));
    return encoded.serialize();
}

} // namespace geraniumpulley::codec
