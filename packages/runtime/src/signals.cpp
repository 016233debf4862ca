#include <geraniumpulley/runtime/signals.hpp>

#include <csignal>
#include <cstdlib>
#include <thread>

namespace geraniumpulley::runtime {
namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
}

int waitForStopSignal()
{
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
    return received;
}

void blockReloadSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

ProcessSignal waitForSignal(core::Duration timeout)
{
    sigset_t signals = stopSignals();
    sigaddset(&signals, SIGHUP);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    const auto remainder = std::chrono::duration_cast<std::chrono::nanoseconds>(timeout - seconds);
    const timespec waitTime{seconds.count(), remainder.count()};
    const int received = sigtimedwait(&signals, nullptr, &waitTime);
    if (received == SIGHUP)
        return ProcessSignal::Reload;
    return received > 0 ? ProcessSignal::Stop : ProcessSignal::None;
}

void exitOnNextStopSignal(int exitCode)
{
    std::thread([exitCode] {
        waitForStopSignal();
        std::_Exit(exitCode);
    }).detach();
}

} // namespace geraniumpulley::runtime
