#pragma once

#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace geraniumpulley::net {

/// The platform's response. When `answered` is false, it is unknown whether the call took effect.
struct PlatformReply
{
    bool answered = false;
    std::uint32_t status = 0;
    std::string body;
};

/// A call of the platform's HTTP interface.
struct PlatformRequest
{
    std::string method;
    std::string path; ///< Path and query, relative to the platform's base URI.
    std::string body;
    /// Called exactly once, on a thread of cpprest. May block on a ring that its duty drains.
    std::function<void(PlatformReply &&)> done;
};

/// The settings of a `PlatformClient`.
struct PlatformClientSettings
{
    std::string uri; ///< Base URI of the platform, such as "http://127.0.0.1:9000".
    core::Duration timeout = std::chrono::seconds(2);
    std::size_t maxInFlight = 32; ///< The maximum number of calls in flight.
    std::size_t ringCapacity = 1024;
    /// Called on a thread of cpprest with false at the first call that fails, and with true at the
    /// first one that succeeds again.
    std::function<void(bool isAvailable)> onAvailabilityChanged;
};

/// A client of the platform's table service, object store and list of VMs, on a dedicated thread.
///
/// Every call must be idempotent or conditional, because cpprest's client may retry a request by
/// itself.
class PlatformClient
{
public:
    static core::Result<std::unique_ptr<PlatformClient>>
    create(const PlatformClientSettings &settings);
    ~PlatformClient();

    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /// \return the number of bytes of paths and bodies sent and received so far.
    [[nodiscard]] std::uint64_t trafficBytes() const;

    /// Sends a call. Thread-safe, never blocks. When the ring is full, `done` is called at once on
    /// the calling thread with a reply that is not `answered`.
    void send(PlatformRequest &&request);

private:
    struct Implementation;
    explicit PlatformClient(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::net
