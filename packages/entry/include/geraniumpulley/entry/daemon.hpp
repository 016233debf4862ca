#pragma once

#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/entry/settings.hpp>

#include <memory>

namespace geraniumpulley::entry {

/// The process that serves clients and trainers on the platform. Each of its duties runs on a
/// thread of its own; bounded rings connect them.
class Daemon
{
public:
    /// Starts all threads. \return the daemon, or the error of the first component that failed to
    /// start.
    static core::Result<std::unique_ptr<Daemon>> create(const Settings &settings);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Applies changed settings: the seeds and the stop timeout. Other settings need a restart.
    void reload(const Settings &settings);

    /// Drains the node: it reports that it is not ready, hands its batches over to other nodes and
    /// answers the requests that it has accepted. To be called once.
    /// \return whether the drain completed within the stop timeout of the settings.
    bool drain();

private:
    struct Implementation;
    explicit Daemon(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::entry
