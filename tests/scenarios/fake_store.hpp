#pragma once

#include "simulation.hpp"

#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/core/control/lease_manager.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// The platform's table service and object store, with the ways in which they fail.
namespace scenario {

enum class StoreFault {
    None,
    Down,
    Slow,
    LosesAnswers, ///< The operation takes effect.
    LosesRequests, ///< The operation does not.
};

struct FakeStore
{
    Simulation &simulation;
    StoreFault fault = StoreFault::None;
    Duration slowness{};
    std::map<std::string, geraniumpulley::codec::TableRow> rows = {};
    std::map<std::string, std::string> objects = {};

    void transact(const geraniumpulley::codec::TableTransaction &transaction,
                  std::function<void(geraniumpulley::core::CommitResult)> done);
    /// Gives nothing when the store does not answer.
    void
    read(const std::string &prefix,
         std::function<void(std::optional<std::vector<geraniumpulley::codec::TableRow>>)> done);
    /// As `read`, for the row of one key.
    void
    readRow(const std::string &key,
            std::function<void(std::optional<std::vector<geraniumpulley::codec::TableRow>>)> done);
    void putObject(const std::string &key, std::string value, std::function<void(bool)> done);
    void getObject(const std::string &key,
                   std::function<void(bool, std::optional<std::string>)> done);

private:
    void
    select(const std::function<bool(const std::string &)> &wanted,
           std::function<void(std::optional<std::vector<geraniumpulley::codec::TableRow>>)> done);
    void perform(std::function<void()> effect, std::function<void(bool)> done);
    geraniumpulley::core::CommitResult
    commit(const geraniumpulley::codec::TableTransaction &transaction);
};

} // namespace scenario
