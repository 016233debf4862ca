#include "child_process.hpp"

#include <csignal>
#include <stdexcept>

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace live {
namespace {

constexpr auto maxCheckPeriod = std::chrono::milliseconds(50);
constexpr std::size_t readBufferBytes = 4096;

pid_t spawn(const std::vector<std::string> &command, int output, int closedInChild)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output, STDERR_FILENO);
    posix_spawn_file_actions_addclose(&actions, closedInChild);
    posix_spawn_file_actions_addclose(&actions, output);
    pid_t pid = -1;
    const int error = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + command[0]);
    return pid;
}

} // namespace

ChildProcess::ChildProcess(std::shared_ptr<LogWatch> watch, const std::vector<std::string> &command)
    : watch(std::move(watch))
{
    int pipeEnds[2];
    if (pipe(pipeEnds) != 0)
        throw std::runtime_error("cannot create a pipe");
    this->pid = spawn(command, pipeEnds[1], pipeEnds[0]);
    close(pipeEnds[1]);
    this->reader = std::thread([this, descriptor = pipeEnds[0]] { this->readLines(descriptor); });
}

ChildProcess::~ChildProcess()
{
    int status = 0;
    if (!this->hasEnded(status)) {
        this->signal(SIGKILL);
        waitpid(this->pid, &status, 0);
    }
    this->reader.join();
}

void ChildProcess::signal(int signalNumber) const
{
    kill(this->pid, signalNumber);
}

bool ChildProcess::hasEnded(int &status)
{
    if (!this->ended && waitpid(this->pid, &status, WNOHANG) == this->pid) {
        this->ended = true;
        this->endStatus = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    status = this->endStatus;
    return this->ended;
}

std::vector<std::string> ChildProcess::lines() const
{
    const std::lock_guard lock(this->watch->mutex);
    return this->log;
}

void ChildProcess::readLines(int descriptor)
{
    std::string incompleteLine;
    char buffer[readBufferBytes];
    for (ssize_t count = 0; (count = read(descriptor, buffer, sizeof buffer)) > 0;) {
        incompleteLine.append(buffer, static_cast<std::size_t>(count));
        const std::lock_guard lock(this->watch->mutex);
        for (std::size_t end = 0; (end = incompleteLine.find('\n')) != std::string::npos;) {
            this->log.push_back(incompleteLine.substr(0, end));
            incompleteLine.erase(0, end + 1);
        }
        this->watch->changed.notify_all();
    }
    close(descriptor);
}

std::string loggedField(const std::vector<std::string> &lines, const std::string &event,
                        const std::string &key)
{
    for (const std::string &line : lines) {
        if ((line + " ").find("event=" + event + " ") == std::string::npos)
            continue;
        const std::size_t start = line.find(" " + key + "=");
        if (start == std::string::npos)
            continue;
        const std::size_t value = start + key.size() + 2;
        return line.substr(value, line.find(' ', value) - value);
    }
    return {};
}

bool waitUntil(LogWatch &watch, Duration timeout, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::unique_lock lock(watch.mutex);
        watch.changed.wait_for(lock, maxCheckPeriod);
    }
    return true;
}

} // namespace live
