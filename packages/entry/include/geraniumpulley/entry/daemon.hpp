#pragma once

#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/entry/settings.hpp>

#include <memory>

namespace geraniumpulley::entry {

/// One entry process on the platform: its duties, joined by bounded rings.
class Daemon
{
public:
    /// Starts all duties. \return the daemon, or the error of the first part that did not start.
    static core::Result<std::unique_ptr<Daemon>> create(const Settings &settings);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Takes changed settings into force: seeds and limits of time. Addresses stay as they are.
    void reload(const Settings &settings);

    /// Stops gracefully: the node is not ready from now on, gives its batches up to other nodes and
    /// answers what it has taken. Call it once.
    /// \return whether all was done within the settings' stop limit.
    bool drain();

private:
    struct Implementation;
    explicit Daemon(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::entry
