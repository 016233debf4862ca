#pragma once

#include "fake_store.hpp"
#include "process.hpp"
#include "simulation.hpp"

#include <geraniumpulley/core/calls/dispatch.hpp>
#include <geraniumpulley/core/control/control.hpp>
#include <geraniumpulley/core/rollouts/rollout.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// A simulated cluster: the decision code of the nodes on a virtual clock, with fakes for the
/// network, the store, the targets and the clients.
namespace scenario {

namespace core = geraniumpulley::core;

/// Actions that a duty has decided on but not performed yet, in the order of the decisions.
using Outbox = std::deque<std::function<void()>>;

/// A simulated node: the states of its duties during one run of the process.
struct NodeProcess : Process
{
    core::Node self;
    std::vector<std::string> seeds;
    core::ControlState control;
    core::DispatchState dispatch;
    core::RolloutState rollout;
    Outbox controlOutbox;
    Outbox dispatchOutbox;
    Outbox rolloutOutbox;
    core::ConfigurationVersion highestAppliedVersion{}; ///< Reset when the node starts.
    bool drained = false;
};

/// Tokens that an engine generated, as recorded by the engine itself.
struct GeneratedChunk
{
    core::SampleSlot slot;
    core::VersionSpan span; ///< Positions are relative to the first token of the sample.
};

enum class AnswerFault { None, Duplicated, Truncated, Lost };

struct TargetProcess : Process
{
    core::Target target;
    std::map<Time, std::uint64_t> weightVersions{{Time::min(), 1}};
    Duration extraLatency{};
    AnswerFault answerFault = AnswerFault::None;
    std::map<std::string, std::uint64_t> runCounts =
            {}; ///< How often each request ran, by identity.
    std::uint64_t requestCount = 0;
    std::uint64_t markedRequestCount = 0;
};

struct SubmissionRecord
{
    std::string verdict = "pending";
};

struct CallRecord
{
    std::string identity; ///< The name of its key, or of the call if it has no key.
    bool repeatable = false;
    std::string outcome = "pending";
    std::string reason = "pending";
    std::string body = {};
    std::uint64_t runCountAtAnswer = 0;
};

struct StepRecord
{
    core::StepSpec spec;
    std::string nodeName;
    std::string state = "open";
    bool openConfirmed = false; ///< An answer has confirmed that the step is stored.
    std::string digest = {};
    std::uint64_t stalenessBound = 0;
    std::vector<std::vector<std::pair<core::SampleSlot, core::Sample>>> deliveredBatches = {};
};

struct Cluster
{
    explicit Cluster(std::uint64_t seed);

    void addNode(const std::string &name, const std::string &dataCentre);
    void addTarget(const std::string &name, const std::string &service,
                   const std::string &dataCentre);
    void start(const std::string &name);
    void kill(const std::string &name);
    void pause(const std::string &name);
    void resume(const std::string &name);
    /// Requests a graceful shutdown, as SIGTERM does. The process ends once it has drained.
    void stop(const std::string &name);
    /// Marks a target as leaving in the list of VMs.
    void markLeaving(const std::string &target);
    /// Partitions two processes or two data centres until `mend()` is called with the same names.
    void partition(const std::string &first, const std::string &second);
    void heal(const std::string &first, const std::string &second);

    void submit(const std::string &name, const std::string &node,
                const core::ConfigurationDocument &document, core::ConfigurationVersion base);
    void call(const std::string &name, const std::string &node, core::Call call, Duration timeout);
    void openStep(const std::string &name, const std::string &node, const core::StepSpec &spec);

    NodeProcess &node(const std::string &name);
    TargetProcess &target(const std::string &name);
    Process &process(const std::string &name);
    /// \return how often a request ran, over all targets.
    std::uint64_t runCount(const std::string &identity) const;

    // Used by the overloads of `perform`.

    /// Runs `event` in a process. The event is deferred while the process is frozen and discarded
    /// if the process has ended or restarted since `incarnation`.
    void post(Process &process, std::uint64_t incarnation, std::function<void()> event);
    void deliver(NodeProcess &node, const core::ControlEvent &event);
    void deliver(NodeProcess &node, const core::DispatchEvent &event);
    void deliver(NodeProcess &node, const core::RolloutEvent &event);
    void sendRequest(Process &from, const std::string &to, Time deadline, Exchange exchange);
    bool isPartitioned(const Process &from, const Process &to) const;
    void listTargets(NodeProcess &node);
    void pollStep(const std::string &step);

    Simulation simulation;
    FakeStore store;
    Process client; ///< Represents all callers, trainers and operators.
    std::map<std::string, std::unique_ptr<NodeProcess>> nodes;
    std::map<std::string, std::unique_ptr<TargetProcess>> targets;
    std::map<Time, std::vector<core::Target>> vmListHistory;
    Duration vmListLag{};
    std::set<std::pair<std::string, std::string>> partitions;
    std::uint64_t nextReplyToken = 1;
    std::map<core::ReplyToken, std::function<void(const core::AnswerSubmission &)>>
            submissionReplies;
    std::map<core::ReplyToken, std::function<void(const core::CallAnswer &)>> callReplies;
    std::map<core::ReplyToken, std::function<void(const core::StepAnswer &)>> stepReplies;
    std::map<std::string, SubmissionRecord> submissions;
    std::map<std::string, CallRecord> calls;
    std::map<std::string, StepRecord> steps;
    std::map<std::string, GeneratedChunk> generatedChunks; ///< By their text, which is unique.
    std::vector<std::string> violations; ///< Violations of invariants that hold in every scenario.

    core::ReplyToken makeReplyToken() { return core::ReplyToken{this->nextReplyToken++}; }

private:
    Duration latency(const Process &from, const Process &to);
    void runPeriodically(NodeProcess &node, std::uint64_t incarnation, Duration period,
                         std::function<void()> tick);
    void startTimers(NodeProcess &node);
    void deliverEngineReports(NodeProcess &node);
    void onStepAnswer(const std::string &name, const core::StepAnswer &answer);
    template<typename Event, typename State>
    void processEvent(NodeProcess &node, State &state, Outbox &outbox, const Event &event);
};

// One overload for each action: an action without an overload does not compile.
void perform(Cluster &cluster, NodeProcess &node, const core::CommitConfiguration &action);
void perform(Cluster &cluster, NodeProcess &node, const core::ReadConfiguration &action);
void perform(Cluster &cluster, NodeProcess &node, const core::ReadHead &action);
void perform(Cluster &cluster, NodeProcess &node, const core::ReadSubmission &action);
void perform(Cluster &cluster, NodeProcess &node, const core::RequestDocument &action);
void perform(Cluster &cluster, NodeProcess &node, const core::SendPatch &action);
void perform(Cluster &cluster, NodeProcess &node, const core::ParseDocument &action);
void perform(Cluster &cluster, NodeProcess &node, const core::ListTargets &action);
void perform(Cluster &cluster, NodeProcess &node, const core::SendAnnouncement &action);
void perform(Cluster &cluster, NodeProcess &node, const core::SendDocument &action);
void perform(Cluster &cluster, NodeProcess &node, const core::AnswerSubmission &action);
void perform(Cluster &cluster, NodeProcess &node, const core::AnswerStatus &action);
void perform(Cluster &cluster, NodeProcess &node, const core::ApplyConfiguration &action);
void perform(Cluster &cluster, NodeProcess &node, const core::PublishView &action);
void perform(Cluster &cluster, NodeProcess &node, const core::LeaseAction &action);
void perform(Cluster &cluster, NodeProcess &node, const core::SendToTarget &action);
void perform(Cluster &cluster, NodeProcess &node, const core::ForwardCall &action);
void perform(Cluster &cluster, NodeProcess &node, const core::AnswerCall &action);
void perform(Cluster &cluster, NodeProcess &node, const core::CommitClaims &action);
void perform(Cluster &cluster, NodeProcess &node, const core::ReadClaimRow &action);
void perform(Cluster &cluster, NodeProcess &node, const core::LoadClaims &action);
void perform(Cluster &cluster, NodeProcess &node, const core::ProbeTargets &action);
void perform(Cluster &cluster, NodeProcess &node, const core::DispatchDrained &action);
void perform(Cluster &cluster, NodeProcess &node, const core::Generate &action);
void perform(Cluster &cluster, NodeProcess &node, const core::Score &action);
void perform(Cluster &cluster, NodeProcess &node, const core::CancelGeneration &action);
void perform(Cluster &cluster, NodeProcess &node, const core::ListSteps &action);
void perform(Cluster &cluster, NodeProcess &node, const core::LoadStep &action);
void perform(Cluster &cluster, NodeProcess &node, const core::AppendRecord &action);
void perform(Cluster &cluster, NodeProcess &node, const core::ReadRecord &action);
void perform(Cluster &cluster, NodeProcess &node, const core::ForwardStep &action);
void perform(Cluster &cluster, NodeProcess &node, const core::AnswerStep &action);

/// Checks the invariants that hold at the end of every scenario and appends the violations to
/// `cluster.violations`.
void checkInvariants(Cluster &cluster);

} // namespace scenario
