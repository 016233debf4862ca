#pragma once

#include <geraniumpulley/core/configuration.hpp>
#include <geraniumpulley/core/engine_report.hpp>
#include <geraniumpulley/core/identifier.hpp>
#include <geraniumpulley/core/lease.hpp>
#include <geraniumpulley/core/outcome.hpp>
#include <geraniumpulley/core/time.hpp>
#include <geraniumpulley/core/view.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Decisions of the dispatch duty: where an application call runs and what its caller is told.
namespace geraniumpulley::core {

/// One application call, as its caller gave it.
struct Call
{
    ServiceName service;
    std::string customer;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string idempotencyKey; ///< Empty when the caller gave none.
};

/// What a caller gets back.
struct CallAnswer
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::AnswerLost;
    std::uint32_t status = 0; ///< HTTP status of the target where it ran, else of the system.
    std::string contentType;
    std::string body;
};

/// How far an attempt got that brought no whole answer.
enum class AttemptFailure {
    NotSent, ///< No byte left; the attempt did not run.
    Lost, ///< Bytes left and no whole answer came; it may have run.
};

// Events

struct CallReceived
{
    ReplyToken reply{};
    Call call;
    Time deadline{};
    bool forwarded = false; ///< Came from another node, which chose this one.
};
/// The whole answer of a target.
struct TargetAnswered
{
    OperationId operation{};
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
};
struct AttemptFailed
{
    OperationId operation{};
    AttemptFailure failure = AttemptFailure::Lost;
};
/// The answer of the node that a call was forwarded to.
struct PeerAnswered
{
    OperationId operation{};
    CallAnswer answer;
};
struct DispatchConfigurationChanged
{
    std::shared_ptr<const Configuration> configuration;
};
struct DispatchViewChanged
{
    ViewPointer view;
};
struct DispatchLeasesChanged
{
    LeaseTablePointer leases;
};
struct DispatchEnginesChanged
{
    EngineReportsPointer engines;
};

using DispatchEvent = std::variant<CallReceived, TargetAnswered, AttemptFailed, PeerAnswered,
                                   DispatchConfigurationChanged, DispatchViewChanged,
                                   DispatchLeasesChanged, DispatchEnginesChanged>;

// Actions

struct SendToTarget
{
    OperationId operation{};
    Target target;
    Call call;
    Time deadline{};
};
struct ForwardCall
{
    OperationId operation{};
    Node node;
    Call call;
    Time deadline{};
};
struct AnswerCall
{
    ReplyToken reply{};
    CallAnswer answer;
    bool forwarded = false; ///< The asker is another node, not a caller's connection.
};

using DispatchAction = std::variant<SendToTarget, ForwardCall, AnswerCall>;

/// One call that waits for an attempt's result.
struct CallInFlight
{
    ReplyToken reply{};
    Call call;
    Time deadline{};
    TargetId target;
    bool forwarded = false;
    std::uint32_t attempts = 1;
};

struct DispatchState
{
    NodeId self;
    std::shared_ptr<const Configuration> configuration;
    ViewPointer view;
    LeaseTablePointer leases;
    EngineReportsPointer engines;
    std::map<OperationId, CallInFlight> inFlight;
    std::map<TargetId, std::uint32_t> load; ///< Calls of this node at each target.
    OperationId nextOperation{1};
};

/// \return the state of a node without configuration; it refuses every call as not ready.
DispatchState makeDispatchState(NodeId self);

/// Takes one event and returns what has to be done about it.
/// Complexity: linear in targets and nodes.
std::vector<DispatchAction> step(DispatchState &state, const DispatchEvent &event, Time now);

} // namespace geraniumpulley::core
