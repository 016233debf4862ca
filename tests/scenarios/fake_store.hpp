#pragma once

#include "simulation.hpp"

#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/core/control/lease_manager.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// An in-memory model of the platform's table service and object store, with injected faults.
namespace scenario {

enum class StoreFault {
    None,
    Down,
    Slow,
    LosesAnswers, ///< Operations are applied, but their answers are lost.
    LosesRequests, ///< Operations are lost before they are applied.
};

struct FakeStore
{
    Simulation &simulation;
    StoreFault fault = StoreFault::None;
    Duration extraLatency{};
    std::map<std::string, geraniumpulley::codec::TableRow> rows = {};
    std::map<std::string, std::string> objects = {};

    void transact(const geraniumpulley::codec::TableTransaction &transaction,
                  std::function<void(geraniumpulley::core::CommitResult)> done);
    /// Reads the rows whose keys begin with `prefix`. `done` receives no value if the store does
    /// not answer.
    void readPrefix(
            const std::string &prefix,
            std::function<void(std::optional<std::vector<geraniumpulley::codec::TableRow>>)> done);
    /// Reads at most one row. `done` receives no value if the store does not answer.
    void
    readRow(const std::string &key,
            std::function<void(std::optional<std::vector<geraniumpulley::codec::TableRow>>)> done);
    void putObject(const std::string &key, std::string value, std::function<void(bool)> done);
    void getObject(const std::string &key,
                   std::function<void(bool, std::optional<std::string>)> done);

private:
    void selectRows(
            const std::function<bool(const std::string &)> &matches,
            std::function<void(std::optional<std::vector<geraniumpulley::codec::TableRow>>)> done);
    void perform(std::function<void()> operation, std::function<void(bool)> done);
    geraniumpulley::core::CommitResult
    commit(const geraniumpulley::codec::TableTransaction &transaction);
};

} // namespace scenario
