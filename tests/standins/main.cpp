#include "standin.hpp"

#include <geraniumpulley/runtime/clock.hpp>
#include <geraniumpulley/runtime/duty.hpp>
#include <geraniumpulley/runtime/signals.hpp>

#include <cpprest/json.h>
#include <cxxopts.hpp>
#include <fmt/format.h>

#include <condition_variable>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace {

using namespace geraniumpulley;
using net::ServerRequest;
using net::ServerResponse;

constexpr std::size_t ringCapacity = 4096;

// Runs actions, such as sending an answer, at their due time on a thread of its own.
class DelayedActions
{
public:
    using Action = std::function<void()>;

    DelayedActions() : thread([this] { this->run(); }) { }

    ~DelayedActions()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->stopping = true;
        }
        this->changed.notify_one();
        this->thread.join();
    }

    DelayedActions(const DelayedActions &) = delete;
    DelayedActions &operator=(const DelayedActions &) = delete;

    void add(core::Time dueAt, Action &&action)
    {
        const std::lock_guard lock(this->mutex);
        this->actions.emplace(dueAt, std::move(action));
        this->changed.notify_one();
    }

private:
    void run()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping) {
            if (this->actions.empty()) {
                this->changed.wait(lock);
            } else if (runtime::now() < this->actions.begin()->first) {
                this->changed.wait_until(lock, this->actions.begin()->first);
            } else {
                auto next = this->actions.extract(this->actions.begin());
                lock.unlock();
                next.mapped()();
                lock.lock();
            }
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::multimap<core::Time, Action> actions;
    bool stopping = false;
    std::thread thread;
};

// A fault that a test has set for the next `count` requests.
struct Fault
{
    std::string mode = "none"; // One of none, down, slow and lose_answer.
    std::uint64_t count = 0;
    core::Duration delay{};
};

// Serves HTTP requests with one service, and applies the faults that tests set.
struct Server
{
    standin::Service service;
    Fault fault;
    std::unique_ptr<net::HttpServer> httpServer;
    std::unique_ptr<DelayedActions> delayedActions;
    std::mutex mutex; // Guards the service, which is called by the duty and by `delayedActions`.

    void handle(const ServerRequest &request)
    {
        ServerResponse answer;
        answer.token = request.token;
        answer.headers = {{"X-Request-Id", net::findHeader(request.headers, "X-Request-Id")}};
        if (standin::requestPath(request) == "/_fault") {
            this->setFault(web::json::value::parse(request.body));
            return this->httpServer->respond(std::move(answer));
        }
        // Tests read the recorded requests during faults, so their requests neither fail nor count.
        const bool isTestRequest = standin::requestPath(request).starts_with("/_");
        const Fault active = isTestRequest ? Fault{} : this->consumeFault();
        standin::Reply reply;
        if (active.mode != "down")
            reply = this->run(request);
        answer.status = reply.status;
        answer.contentType = reply.contentType;
        answer.headers.insert(answer.headers.end(), reply.headers.begin(), reply.headers.end());
        answer.body = std::move(reply.body);
        answer.abortConnection = active.mode == "down" || active.mode == "lose_answer";
        if (reply.nextPart)
            return this->scheduleFirstPart(std::move(answer), std::move(reply), active.delay);
        const core::Time dueAt = runtime::now() + reply.delay + active.delay;
        this->delayedActions->add(dueAt, [this, answer = std::move(answer)]() mutable {
            this->httpServer->respond(std::move(answer));
        });
    }

    void scheduleFirstPart(ServerResponse &&answer, standin::Reply &&reply, core::Duration delay)
    {
        answer.part = net::ResponsePart::First;
        reply.body = std::move(answer.body);
        reply.delay += delay;
        this->schedulePart(std::move(answer), std::move(reply));
    }

    void schedulePart(ServerResponse &&answer, standin::Reply &&reply)
    {
        answer.body = std::move(reply.body);
        answer.abortConnection = answer.abortConnection || reply.abortsConnection;
        this->delayedActions->add(runtime::now() + reply.delay, [this, answer = std::move(answer),
                                                                 next = std::move(reply.nextPart)] {
            this->httpServer->respond(ServerResponse(answer));
            if (next && !answer.abortConnection)
                this->continueAnswer(answer.token, next);
        });
    }

    void continueAnswer(core::ReplyToken token, const std::function<standin::Reply()> &next)
    {
        standin::Reply reply;
        {
            const std::lock_guard lock(this->mutex);
            reply = next();
        }
        ServerResponse answer;
        answer.token = token;
        answer.part = reply.nextPart ? net::ResponsePart::More : net::ResponsePart::Last;
        this->schedulePart(std::move(answer), std::move(reply));
    }

    standin::Reply run(const ServerRequest &request)
    {
        const std::lock_guard lock(this->mutex);
        try {
            return this->service(request);
        } catch (const web::json::json_exception &error) {
            return {400, fmt::format(R"({{"error":{:?}}})", error.what()), {}};
        }
    }

    void setFault(const web::json::value &settings)
    {
        this->fault = Fault{};
        this->fault.mode = settings.at("mode").as_string();
        this->fault.count = settings.at("count").as_number().to_uint64();
        if (settings.has_field("delay_ms"))
            this->fault.delay =
                    std::chrono::milliseconds(settings.at("delay_ms").as_number().to_uint64());
    }

    Fault consumeFault()
    {
        if (this->fault.count == 0)
            return {};
        --this->fault.count;
        return this->fault;
    }
};

standin::Service makeService(const std::string &role)
{
    if (role == "platform")
        return standin::makePlatform();
    if (role == "engine")
        return standin::makeEngine();
    if (role == "plain")
        return standin::makePlainService();
    if (role == "scorer")
        return standin::makeScorer();
    if (role == "rows")
        return standin::makeRowStore();
    if (role == "worker")
        return standin::makeWorker();
    return {};
}

int serve(const std::string &role, const std::string &address)
{
    runtime::Duty<ServerRequest> duty(ringCapacity);
    Server server;
    server.service = makeService(role);
    if (!server.service) {
        fmt::print(stderr, "event=usage problem=\"unknown role {}\"\n", role);
        return 2;
    }
    net::HttpServerSettings settings;
    settings.address = address;
    settings.maxBodyBytes = 64UL * 1024 * 1024;
    auto httpServer = net::HttpServer::create(settings, [&duty](ServerRequest &&request) {
        return duty.inbox().tryPush(std::move(request));
    });
    if (!httpServer) {
        fmt::print(stderr, "event=start_failed error={:?}\n", httpServer.error().message());
        return 1;
    }
    server.httpServer = std::move(httpServer.value());
    server.delayedActions = std::make_unique<DelayedActions>();
    duty.start("standin", [&server](ServerRequest &&request) { server.handle(request); });
    fmt::print(stderr, "event=started role={} port={}\n", role, server.httpServer->port());
    runtime::waitForStopSignal();
    duty.stop();
    server.delayedActions.reset();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    runtime::blockStopSignals();
    cxxopts::Options options("geraniumpulley_standin", "Stand-in for an external system.");
    options.add_options()("role", "platform, engine, plain, scorer, rows or worker",
                          cxxopts::value<std::string>())(
            "address", "ip:port to listen on",
            cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    try {
        const auto arguments = options.parse(argc, argv);
        return serve(arguments["role"].as<std::string>(), arguments["address"].as<std::string>());
    } catch (const cxxopts::exceptions::exception &error) {
        fmt::print(stderr, "event=usage problem={:?}\n", error.what());
        return 2;
    }
}
