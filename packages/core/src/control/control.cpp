#include <geraniumpulley/core/control/control.hpp>

#include "control_handlers.hpp"

#include <xxhash.h>

#include <cassert>
#include <memory>
#include <utility>

namespace geraniumpulley::core {
namespace {

using detail::ControlActions;

ViewPointer makeView(const ControlState &state)
{
    auto view = std::make_shared<View>();
    view->nodes.push_back(state.settings.self);
    for (const auto &[id, known] : state.nodes) {
        if (detail::isLive(known))
            view->nodes.push_back(known.node);
    }
    view->targets = state.targets;
    return view;
}

std::vector<Shard> heldShards(const ControlState &state)
{
    std::vector<Shard> held;
    for (const auto &[shard, known] : state.leases.fences) {
        const FenceRecord &record = known.row.record;
        if (record.holder == state.settings.self.id
            && record.incarnation == state.settings.self.incarnation && !state.leases.replaced)
            held.push_back(shard);
    }
    return held;
}

AnswerStatus makeStatus(const ControlState &state, const StatusRequested &event, Time now)
{
    AnswerStatus status;
    status.reply = event.reply;
    status.query = event.query;
    status.self = state.settings.self;
    status.version = versionInForce(state);
    status.inForceFor = state.inForce ? now - state.inForceSince : Duration::zero();
    status.view = makeView(state);
    for (const auto &[id, known] : state.nodes)
        status.members.push_back({known.node, known.state, known.version, now - known.lastSeenAt});
    if (state.storeAnsweredAt)
        status.storeSilentFor = now - *state.storeAnsweredAt;
    status.replaced = state.replaced || state.leases.replaced;
    status.shards = heldShards(state);
    return status;
}

struct Handler
{
    ControlState &state;
    Time now;
    ControlActions actions;

    void operator()(const SubmissionReceived &event)
    {
        detail::onSubmissionReceived(this->state, event, this->now, this->actions);
    }

    void operator()(const CommitSucceeded &event)
    {
        this->state.storeAnsweredAt = this->now;
        detail::onCommitSucceeded(this->state, event.operation, this->now, this->actions);
    }

    void operator()(const CommitRefused &event)
    {
        this->state.storeAnsweredAt = this->now;
        detail::onCommitRefused(this->state, event.operation, this->actions);
    }

    void operator()(const CommitUncertain &event)
    {
        detail::onCommitUncertain(this->state, event.operation);
    }

    void operator()(const SubmissionRead &event)
    {
        this->state.storeAnsweredAt = this->now;
        detail::onSubmissionRead(this->state, event, this->now, this->actions);
    }

    // The next tick repeats the read until the deadline of the submission.
    void operator()(const SubmissionReadFailed &) { }

    void operator()(const StoreReadFailed &) { }

    void operator()(const HeadRead &event)
    {
        this->state.storeAnsweredAt = this->now;
        if (event.version > versionInForce(this->state))
            this->actions.push_back(ReadConfiguration{});
    }

    void operator()(const ConfigurationRead &event)
    {
        this->state.storeAnsweredAt = this->now;
        if (event.document)
            detail::applyConfiguration(this->state, *event.document, std::nullopt, this->now,
                                       this->actions);
        detail::onBaseRead(this->state, this->actions);
    }

    void operator()(const DocumentReceived &event)
    {
        detail::applyConfiguration(this->state, event.document, std::nullopt, this->now,
                                   this->actions);
    }

    void operator()(const DocumentRequested &event)
    {
        detail::onDocumentRequested(this->state, event, this->actions);
    }

    void operator()(const PatchReceived &event)
    {
        detail::onPatchReceived(this->state, event, this->actions);
    }

    void operator()(const TargetsListed &event)
    {
        if (detail::onTargetsListed(this->state, event.targets))
            this->actions.push_back(PublishView{makeView(this->state)});
    }

    void operator()(const AnnouncementReceived &event)
    {
        if (detail::onAnnouncementReceived(this->state, event.announcement, this->now,
                                           this->actions))
            this->publishView();
    }

    void operator()(const StatusRequested &event)
    {
        this->actions.push_back(makeStatus(this->state, event, this->now));
    }

    void operator()(const LeaseEvent &event)
    {
        for (LeaseAction &action : step(this->state.leases, event, this->now))
            this->actions.emplace_back(std::move(action));
    }

    void operator()(const ControlTick &)
    {
        if (detail::expireMembers(this->state, this->now))
            this->publishView();
        (*this)(LeaseEvent{LeaseTick{}});
        detail::advanceSubmissions(this->state, this->now, this->actions);
        detail::pollStore(this->state, this->now, this->actions);
        detail::probeMembers(this->state, this->now, this->actions);
    }

    void publishView()
    {
        const ViewPointer view = makeView(this->state);
        this->actions.push_back(PublishView{view});
        (*this)(LeaseEvent{LeaseNodesChanged{view->nodes}});
    }
};

} // namespace

ControlState makeControlState(ControlSettings settings)
{
    ControlState state;
    const std::string &id = settings.self.id.value;
    state.leases = makeLeaseState(settings.self);
    // A xorshift generator whose state is 0 only ever yields 0.
    state.randomState = XXH3_64bits_withSeed(id.data(), id.size(), settings.self.incarnation) | 1U;
    state.settings = std::move(settings);
    return state;
}

ConfigurationVersion versionInForce(const ControlState &state)
{
    return state.inForce ? state.inForce->version : ConfigurationVersion{};
}

std::optional<std::string> notReadyReason(const AnswerStatus &status)
{
    if (status.replaced)
        return "a newer process runs under this node's id";
    if (number(status.version) > 0)
        return std::nullopt;
    const bool storeAnswers = status.storeSilentFor && *status.storeSilentFor < storeSilenceTimeout;
    if (storeAnswers)
        return "no configuration was ever submitted";
    if (status.members.empty())
        return "the store does not answer and no other node is known";
    return "the store does not answer and no known node has a configuration";
}

std::vector<ControlAction> step(ControlState &state, const ControlEvent &event, Time now)
{
    const ConfigurationVersion before = versionInForce(state);
    Handler handler{state, now, {}};
    std::visit(handler, event);
    assert(versionInForce(state) >= before);
    (void)before;
    return std::move(handler.actions);
}

} // namespace geraniumpulley::core
