#include <geraniumpulley/net/platform_client.hpp>

#include <geraniumpulley/net/error.hpp>
#include <geraniumpulley/runtime/duty.hpp>

#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <utility>

namespace geraniumpulley::net {
namespace {

constexpr int cpprestThreads = 2;

// The default thread pool of cpprest has 40 threads, too many for a node's budget for control
// (docs/CAPACITY.md).
void limitCpprestThreads()
{
    static std::once_flag once;
    std::call_once(once, [] { crossplat::threadpool::initialize_with_threads(cpprestThreads); });
}

// A counting semaphore for requests in flight; `acquire` blocks at the limit.
class InFlightLimit
{
public:
    explicit InFlightLimit(std::size_t limit) : limit(limit) { }

    void acquire()
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock, [this] { return this->count < this->limit; });
        ++this->count;
    }

    void release()
    {
        {
            const std::lock_guard lock(this->mutex);
            --this->count;
        }
        this->changed.notify_all();
    }

    void waitUntilIdle()
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock, [this] { return this->count == 0; });
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    const std::size_t limit;
    std::size_t count = 0;
};

// A 4xx status, such as for a conflict or a missing row, counts as success; a 5xx does not.
bool isSuccess(const PlatformReply &reply)
{
    constexpr std::uint32_t firstServerError = 500;
    return reply.answered && reply.status < firstServerError;
}

PlatformReply awaitReply(const pplx::task<PlatformReply> &task)
{
    try {
        return task.get();
    } catch (const std::exception &) {
        return {};
    }
}

} // namespace

struct PlatformClient::Implementation
{
    explicit Implementation(const PlatformClientSettings &settings)
        : client(web::uri(settings.uri), configuration(settings)), inFlight(settings.maxInFlight),
          onAvailabilityChanged(settings.onAvailabilityChanged), duty(settings.ringCapacity)
    {
    }

    ~Implementation()
    {
        this->duty.stop();
        this->inFlight.waitUntilIdle();
    }

    static web::http::client::http_client_config
    configuration(const PlatformClientSettings &settings)
    {
        web::http::client::http_client_config configuration;
        configuration.set_timeout(settings.timeout);
        return configuration;
    }

    void start(PlatformRequest &&request)
    {
        this->inFlight.acquire();
        web::http::http_request message(request.method);
        message.set_request_uri(web::uri(request.path));
        if (!request.body.empty())
            message.set_body(request.body, "application/json");
        this->traffic += request.path.size() + request.body.size();
        this->client.request(message)
                .then([](const web::http::http_response &response) {
                    return response.extract_utf8string(true).then(
                            [status = response.status_code()](const std::string &body) {
                                return PlatformReply{true, status, body};
                            });
                })
                .then([this,
                       done = std::move(request.done)](const pplx::task<PlatformReply> &task) {
                    PlatformReply reply = awaitReply(task);
                    this->traffic += reply.body.size();
                    this->updateAvailability(isSuccess(reply));
                    done(std::move(reply));
                    this->inFlight.release();
                });
    }

    void updateAvailability(bool isAvailable)
    {
        if (this->available.exchange(isAvailable) != isAvailable && this->onAvailabilityChanged)
            this->onAvailabilityChanged(isAvailable);
    }

    web::http::client::http_client client;
    InFlightLimit inFlight;
    std::function<void(bool isAvailable)> onAvailabilityChanged;
    std::atomic<bool> available = true;
    std::atomic<std::uint64_t> traffic = 0;
    runtime::Duty<PlatformRequest> duty;
};

PlatformClient::PlatformClient(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

PlatformClient::~PlatformClient() = default;

core::Result<std::unique_ptr<PlatformClient>>
PlatformClient::create(const PlatformClientSettings &settings)
{
    limitCpprestThreads();
    const bool isUri = web::uri::validate(settings.uri);
    if (!isUri || web::uri(settings.uri).host().empty())
        return make_error_code(Errc::BadAddress);
    auto implementation = std::make_unique<Implementation>(settings);
    Implementation &client = *implementation;
    client.duty.start("platform",
                      [&client](PlatformRequest &&request) { client.start(std::move(request)); });
    return std::unique_ptr<PlatformClient>(new PlatformClient(std::move(implementation)));
}

std::uint64_t PlatformClient::trafficBytes() const
{
    return this->implementation->traffic;
}

void PlatformClient::send(PlatformRequest &&request)
{
    if (!this->implementation->duty.inbox().tryPush(std::move(request)))
        request.done({}); // NOLINT(bugprone-use-after-move): tryPush moves only on success
}

} // namespace geraniumpulley::net
