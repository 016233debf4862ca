#pragma once

#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/node/settings.hpp>

#include <cstdint>
#include <memory>

namespace geraniumpulley::node {

/// One node process: its duties and the bounded rings that connect them.
class Daemon
{
public:
    /// Starts all duties.
    /// \return the daemon, or the error of the first component that failed to start.
    static core::Result<std::unique_ptr<Daemon>> create(const Settings &settings);
    ~Daemon();

    /// Drains the node: it reports that it is not ready, refuses new calls and waits for at most
    /// `Settings::drainTimeout` for the running ones. Must be called at most once.
    /// \return whether all calls finished and their answers were written in time.
    bool drain();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

private:
    struct Implementation;
    explicit Daemon(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::node
