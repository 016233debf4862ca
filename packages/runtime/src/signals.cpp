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

void exitAtNextStopSignal(int code)
{
    std::thread([code] {
        waitForStopSignal();
        std::_Exit(code);
    }).detach();
}

} // namespace geraniumpulley::runtime
