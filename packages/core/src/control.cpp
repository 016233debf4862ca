#include <geraniumpulley/core/control.hpp>

#include <algorithm>
#include <cassert>
#include <memory>
#include <utility>

namespace geraniumpulley::core {
namespace {

using Actions = std::vector<ControlAction>;

Announcement makeAnnouncement(const ControlState &state)
{
    Announcement announcement{state.settings.self, versionInForce(state), {}};
    for (const auto &[id, known] : state.nodes)
        announcement.nodes.push_back(known.node);
    return announcement;
}

ViewPointer makeView(const ControlState &state)
{
    auto view = std::make_shared<View>();
    view->nodes.push_back(state.settings.self);
    for (const auto &[id, known] : state.nodes)
        view->nodes.push_back(known.node);
    view->targets = state.targets;
    return view;
}

// A lower or equal version changes nothing: replies may be late, doubled or out of order.
void putInForce(ControlState &state, const ConfigurationDocument &document, Time now,
                Actions &actions)
{
    if (document.version <= versionInForce(state))
        return;
    state.inForce = document;
    state.inForceSince = now;
    actions.push_back(PutInForce{document});
    for (const auto &[id, known] : state.nodes)
        actions.push_back(SendDocument{known.node, document});
}

// A peer that heard of another node vouches for it until it has been silent for the limit itself.
bool learnNode(ControlState &state, const Node &node, Time now, bool heardDirectly)
{
    if (node.id == state.settings.self.id)
        return false;
    const auto [position, isNew] = state.nodes.try_emplace(node.id, KnownNode{node, now});
    KnownNode &known = position->second;
    if (isNew)
        return true;
    if (node.incarnation < known.node.incarnation)
        return false;
    if (heardDirectly)
        known.lastHeard = now;
    if (node == known.node)
        return false;
    known.node = node;
    return true;
}

bool dropSilentNodes(ControlState &state, Time now)
{
    const std::size_t dropped = std::erase_if(state.nodes, [&](const auto &entry) {
        return now - entry.second.lastHeard > state.settings.silenceLimit;
    });
    return dropped > 0;
}

struct Handler
{
    ControlState &state;
    Time now;
    Actions actions;

    void operator()(const SubmissionReceived &event)
    {
        const OperationId operation = this->state.nextOperation;
        this->state.nextOperation = next(operation);
        ConfigurationDocument document = event.document;
        document.version = next(event.base);
        const AuditEntry audit{document.version,      event.base, document.author,
                               document.submissionId, {},         event.when};
        this->state.submissions[operation] = PendingSubmission{event.reply, document};
        this->actions.push_back(CommitConfiguration{operation, document, audit});
    }

    void operator()(const CommitSucceeded &event)
    {
        const auto position = this->state.submissions.find(event.operation);
        if (position == this->state.submissions.end())
            return;
        const PendingSubmission pending = position->second;
        this->state.submissions.erase(position);
        putInForce(this->state, pending.document, this->now, this->actions);
        this->actions.push_back(AnswerSubmission{pending.reply, SubmissionVerdict::Accepted,
                                                 pending.document.version,
                                                 pending.document.author});
    }

    void operator()(const CommitRefused &event)
    {
        const auto position = this->state.submissions.find(event.operation);
        if (position == this->state.submissions.end())
            return;
        position->second.refused = true;
        this->actions.push_back(ReadConfiguration{});
    }

    void operator()(const CommitUncertain &event)
    {
        const auto position = this->state.submissions.find(event.operation);
        if (position == this->state.submissions.end())
            return;
        position->second.uncertain = true;
        this->actions.push_back(ReadConfiguration{});
    }

    void operator()(const ConfigurationRead &event)
    {
        if (event.document)
            putInForce(this->state, *event.document, this->now, this->actions);
        std::erase_if(this->state.submissions, [&](const auto &entry) {
            const PendingSubmission &pending = entry.second;
            if (!pending.refused && !pending.uncertain)
                return false;
            this->resolve(pending, event.document);
            return true;
        });
    }

    // The unique submission id tells our own commit, whose answer was lost, from somebody else's.
    void resolve(const PendingSubmission &pending,
                 const std::optional<ConfigurationDocument> &stored)
    {
        AnswerSubmission answer{pending.reply, SubmissionVerdict::Unknown, {}, {}};
        if (stored) {
            const bool ours = stored->submissionId == pending.document.submissionId;
            const bool lost = stored->version >= pending.document.version || pending.refused;
            if (ours)
                answer.verdict = SubmissionVerdict::Accepted;
            else if (lost)
                answer.verdict = SubmissionVerdict::Conflict;
            answer.version = stored->version;
            answer.author = stored->author;
        }
        this->actions.push_back(answer);
    }

    void operator()(const TargetsListed &event)
    {
        if (event.targets == this->state.targets)
            return;
        this->state.targets = event.targets;
        this->actions.push_back(PublishView{makeView(this->state)});
    }

    void operator()(const AnnouncementReceived &event)
    {
        const Announcement &announcement = event.announcement;
        bool changed = learnNode(this->state, announcement.sender, this->now, true);
        for (const Node &node : announcement.nodes)
            changed = learnNode(this->state, node, this->now, false) || changed;
        if (changed)
            this->publishView();
        if (announcement.version < versionInForce(this->state))
            this->actions.push_back(SendDocument{announcement.sender, *this->state.inForce});
    }

    void operator()(const DocumentReceived &event)
    {
        putInForce(this->state, event.document, this->now, this->actions);
    }

    void operator()(const StatusAsked &event)
    {
        const Duration inForceFor =
                this->state.inForce ? this->now - this->state.inForceSince : Duration::zero();
        this->actions.push_back(AnswerStatus{event.reply, event.question, this->state.settings.self,
                                             versionInForce(this->state), inForceFor,
                                             makeView(this->state)});
    }

    void operator()(const LeaseEvent &event)
    {
        for (LeaseAction &action : step(this->state.leases, event, this->now))
            this->actions.emplace_back(std::move(action));
    }

    void publishView()
    {
        const ViewPointer view = makeView(this->state);
        this->actions.push_back(PublishView{view});
        (*this)(LeaseEvent{LeaseNodesChanged{view->nodes}});
    }

    void operator()(const ControlTick &)
    {
        if (dropSilentNodes(this->state, this->now))
            this->publishView();
        (*this)(LeaseEvent{LeaseTick{}});
        this->actions.push_back(ReadConfiguration{versionInForce(this->state)});
        this->actions.push_back(ListTargets{});
        const Announcement announcement = makeAnnouncement(this->state);
        for (const auto &[id, known] : this->state.nodes)
            this->actions.push_back(SendAnnouncement{known.node, announcement});
        for (const std::string &seed : this->state.settings.seeds) {
            const bool known = std::any_of(
                    this->state.nodes.begin(), this->state.nodes.end(),
                    [&](const auto &entry) { return entry.second.node.address == seed; });
            if (!known)
                this->actions.push_back(SendAnnouncement{Node{{}, seed, {}, 0}, announcement});
        }
    }
};

} // namespace

ControlState makeControlState(ControlSettings settings)
{
    ControlState state;
    state.leases = makeLeaseState(settings.self);
    state.settings = std::move(settings);
    return state;
}

ConfigurationVersion versionInForce(const ControlState &state)
{
    return state.inForce ? state.inForce->version : ConfigurationVersion{};
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
