#pragma once

#include <geraniumpulley/core/fleet/fleet.hpp>
#include <geraniumpulley/core/leader/leader.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// A fleet of nodes on a virtual clock that compete for the lease, before engines and a provider
/// that check no fencing tokens.
namespace geraniumpulley::core::test {

/// What can be wrong with a node, several things at a time.
enum class Trouble {
    Frozen, ///< It does nothing, while its clock goes on.
    Suspended, ///< It does nothing, and its monotonic clock stands still.
    WithoutStore, ///< Its calls to the store are lost.
    AnswersLost, ///< Its calls to the store are carried out and not answered.
    WritesLate, ///< Its writes to the store are carried out after seconds and not answered.
    ReadsSlow, ///< Answers to its reads of the store are old when they come.
    TargetsSlow, ///< Connections to targets open late.
    WithoutTargets, ///< It reaches no target, while other nodes do.
    Stopping, ///< It drains; it is started again when this ends.
    Killed, ///< It is gone until this ends.
};
inline constexpr std::size_t troubleCount = 10;

struct ScheduleStep
{
    std::size_t node = 0;
    Trouble trouble = Trouble::Frozen; ///< Begins, or ends if the node has it.
    Duration lasts{}; ///< The time until the next step.
};

/// A call under a fencing token, as an engine or the provider has received it.
struct ReceivedCall
{
    std::size_t node = 0;
    std::uint64_t fence = 0;
    Time at{};
};

class LeadershipSimulation
{
public:
    LeadershipSimulation();
    ~LeadershipSimulation();

    LeadershipSimulation(const LeadershipSimulation &) = delete;
    LeadershipSimulation &operator=(const LeadershipSimulation &) = delete;

    void begin(std::size_t node, Trouble trouble);
    void end(std::size_t node, Trouble trouble);
    [[nodiscard]] bool has(std::size_t node, Trouble trouble) const;
    /// Lets time pass.
    void pass(Duration span);
    /// Ends the troubles of all nodes.
    void recover();

    [[nodiscard]] Time now() const;
    [[nodiscard]] std::size_t nodeCount() const;
    /// \return the calls by receiver: an engine, or the provider.
    [[nodiscard]] const std::map<std::string, std::vector<ReceivedCall>> &calls() const;
    /// \return the last weight order that an engine has received, or null.
    [[nodiscard]] const ReceivedCall *lastOrder() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// \return a description of the first call that breaks the rules of fencing, or an empty text: a
/// token of two nodes, a lower token after a higher one, or holders that take turns within the
/// lease.
std::string findFencingViolation(const LeadershipSimulation &simulation);

} // namespace geraniumpulley::core::test
