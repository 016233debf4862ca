#pragma once

#include <geraniumpulley/core/result.hpp>
#include <geraniumpulley/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace geraniumpulley::net {

/// The platform's answer; `answered` is false when nobody can tell whether the call took effect.
struct PlatformReply
{
    bool answered = false;
    std::uint32_t status = 0;
    std::string body;
};

struct PlatformRequest
{
    std::string method;
    std::string path; ///< Path and query below the platform's base URI.
    std::string body;
    /// Runs on a library thread, exactly once; may block on a ring that its duty drains.
    std::function<void(PlatformReply &&)> done;
};

struct PlatformSettings
{
    std::string uri; ///< Base URI, such as "http://127.0.0.1:9000".
    core::Duration timeout = std::chrono::seconds(2);
    std::size_t maxInFlight = 32;
    std::size_t ringCapacity = 1024;
    /// Told with the first call that fails and with the first one that is served again; runs on a
    /// library thread.
    std::function<void(bool served)> onServedChanged;
};

/// Calls the platform's table service, object store and list of VMs, on a thread of its own.
///
/// Every call must be idempotent or conditional: cpprest's client may send a request again by
/// itself.
class PlatformClient
{
public:
    static core::Result<std::unique_ptr<PlatformClient>> create(const PlatformSettings &settings);
    ~PlatformClient();

    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /// \return the bytes of paths and bodies sent and received so far.
    [[nodiscard]] std::uint64_t traffic() const;

    /// Sends a call; from any thread, never blocks. When the ring is full, `done` runs at once on
    /// the calling thread, unanswered.
    void send(PlatformRequest &&request);

private:
    struct Implementation;
    explicit PlatformClient(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace geraniumpulley::net
