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
using net::DoorAnswer;
using net::DoorRequest;

constexpr std::size_t ringCapacity = 4096;

// Runs actions, such as giving an answer to the door, when their delay has passed.
class DelayedAnswers
{
public:
    using Action = std::function<void()>;

    DelayedAnswers() : thread([this] { this->run(); }) { }

    ~DelayedAnswers()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->stopping = true;
        }
        this->changed.notify_one();
        this->thread.join();
    }

    DelayedAnswers(const DelayedAnswers &) = delete;
    DelayedAnswers &operator=(const DelayedAnswers &) = delete;

    void add(core::Time due, Action &&action)
    {
        const std::lock_guard lock(this->mutex);
        this->answers.emplace(due, std::move(action));
        this->changed.notify_one();
    }

private:
    void run()
    {
        std::unique_lock lock(this->mutex);
        while (!this->stopping) {
            if (this->answers.empty()) {
                this->changed.wait(lock);
            } else if (runtime::now() < this->answers.begin()->first) {
                this->changed.wait_until(lock, this->answers.begin()->first);
            } else {
                auto first = this->answers.extract(this->answers.begin());
                lock.unlock();
                first.mapped()();
                lock.lock();
            }
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::multimap<core::Time, Action> answers;
    bool stopping = false;
    std::thread thread;
};

// What a stand-in was told to do wrong, for the next `count` requests.
struct Fault
{
    std::string mode = "none"; // none, down, slow or lose_answer
    std::uint64_t count = 0;
    core::Duration delay{};
};

struct Server
{
    standin::Service service;
    Fault fault;
    std::unique_ptr<net::HttpDoor> door;
    std::unique_ptr<DelayedAnswers> answers;
    std::mutex mutex; // Of the service, which requests and the parts of answers in chunks call.

    void handle(const DoorRequest &request)
    {
        DoorAnswer answer;
        answer.token = request.token;
        answer.headers = {{"X-Request-Id", net::findHeader(request.headers, "X-Request-Id")}};
        if (standin::pathOf(request) == "/_fault") {
            this->setFault(web::json::value::parse(request.body));
            return this->door->answer(std::move(answer));
        }
        // Tests read ledgers while faults last, so these requests neither fail nor use a fault up.
        const bool ofTests = standin::pathOf(request).starts_with("/_");
        const Fault active = ofTests ? Fault{} : this->takeFault();
        standin::Reply reply;
        if (active.mode != "down")
            reply = this->run(request);
        answer.status = reply.status;
        answer.headers.insert(answer.headers.end(), reply.headers.begin(), reply.headers.end());
        answer.body = std::move(reply.body);
        answer.drop = active.mode == "down" || active.mode == "lose_answer";
        if (reply.next)
            return this->scheduleFirst(std::move(answer), std::move(reply), active.delay);
        const core::Time due = runtime::now() + reply.delay + active.delay;
        this->answers->add(due, [this, answer = std::move(answer)]() mutable {
            this->door->answer(std::move(answer));
        });
    }

    void scheduleFirst(DoorAnswer &&answer, standin::Reply &&reply, core::Duration delay)
    {
        answer.part = net::AnswerPart::First;
        reply.body = std::move(answer.body);
        reply.delay += delay;
        this->schedulePart(std::move(answer), std::move(reply));
    }

    void schedulePart(DoorAnswer &&answer, standin::Reply &&reply)
    {
        answer.body = std::move(reply.body);
        answer.drop = answer.drop || reply.cut;
        this->answers->add(runtime::now() + reply.delay,
                           [this, answer = std::move(answer), next = std::move(reply.next)] {
                               this->door->answer(DoorAnswer(answer));
                               if (next && !answer.drop)
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
        DoorAnswer answer;
        answer.token = token;
        answer.part = reply.next ? net::AnswerPart::More : net::AnswerPart::Last;
        this->schedulePart(std::move(answer), std::move(reply));
    }

    standin::Reply run(const DoorRequest &request)
    {
        const std::lock_guard lock(this->mutex);
        try {
            return this->service(request);
        } catch (const web::json::json_exception &error) {
            return {400, fmt::format(R"({{"error":{:?}}})", error.what()), {}};
        }
    }

    void setFault(const web::json::value &order)
    {
        this->fault = Fault{};
        this->fault.mode = order.at("mode").as_string();
        this->fault.count = order.at("count").as_number().to_uint64();
        if (order.has_field("delay_ms"))
            this->fault.delay =
                    std::chrono::milliseconds(order.at("delay_ms").as_number().to_uint64());
    }

    Fault takeFault()
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
    runtime::Duty<DoorRequest> duty(ringCapacity);
    Server server;
    server.service = makeService(role);
    if (!server.service) {
        fmt::print(stderr, "event=usage problem=\"unknown role {}\"\n", role);
        return 2;
    }
    net::DoorSettings settings;
    settings.address = address;
    settings.maxBodyBytes = 64UL * 1024 * 1024;
    auto door = net::HttpDoor::create(settings, [&duty](DoorRequest &&request) {
        return duty.inbox().tryPush(std::move(request));
    });
    if (!door) {
        fmt::print(stderr, "event=start_failed error={:?}\n", door.error().message());
        return 1;
    }
    server.door = std::move(door.value());
    server.answers = std::make_unique<DelayedAnswers>();
    duty.start("standin", [&server](DoorRequest &&request) { server.handle(request); });
    fmt::print(stderr, "event=started role={} port={}\n", role, server.door->port());
    runtime::waitForStopSignal();
    duty.stop();
    server.answers.reset();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    runtime::blockStopSignals();
    cxxopts::Options options("geraniumpulley_standin", "Stand-in for a system outside.");
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
