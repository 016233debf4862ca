#pragma once

#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/node/settings.hpp>

#include <cstdint>
#include <memory>

namespace geraniumpulley::node {

/// One entry process: its duties, joined by bounded rings.
class Daemon
{
public:
    /// Starts all duties. \return the daemon, or the error of the first part that did not start.
    static core::Result<std::unique_ptr<Daemon>> create(const Settings &settings);
    ~Daemon();

    /// Stops gracefully: the node is not ready from now on, refuses new calls and waits for the
    /// running ones, at most for the settings' drain limit. Call it once.
    /// \return whether all calls were finished in time.
    bool drain();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

private:
    struct Implementation;
    explicit Daemon(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::node
