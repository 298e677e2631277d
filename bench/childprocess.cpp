#include "childprocess.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <thread>

namespace carobjunction::bench
{

namespace
{

constexpr auto PollInterval = std::chrono::milliseconds(5);

[[noreturn]] void runProgram(const std::vector<char *> &arguments, int output, int errors, pid_t parent)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(127);
    }
    ::dup2(output, STDOUT_FILENO);
    ::dup2(errors, STDERR_FILENO);
    ::execv(arguments.front(), arguments.data());
    ::_exit(127);
}

} // namespace

std::unique_ptr<ChildProcess> ChildProcess::start(const std::vector<std::string> &arguments, const std::string &errorFile)
{
    return start(arguments, errorFile, Output::Pipe);
}

std::unique_ptr<ChildProcess> ChildProcess::startLogged(const std::vector<std::string> &arguments, const std::string &logFile)
{
    return start(arguments, logFile, Output::ErrorFile);
}

std::unique_ptr<ChildProcess> ChildProcess::start(const std::vector<std::string> &arguments, const std::string &errorFile, Output output)
{
    std::vector<std::string> copies = arguments;
    std::vector<char *> pointers;
    pointers.reserve(copies.size() + 1);
    for (std::string &argument : copies) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    int pipeEnds[2];
    if (::pipe2(pipeEnds, O_CLOEXEC) != 0) {
        return nullptr;
    }
    const int errors = ::open(errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parent = ::getpid();
    const pid_t pid = errors < 0 ? -1 : ::fork();
    if (pid == 0) {
        runProgram(pointers, output == Output::Pipe ? pipeEnds[1] : errors, errors, parent);
    }
    ::close(pipeEnds[1]);
    if (errors >= 0) {
        ::close(errors);
    }
    if (pid < 0) {
        ::close(pipeEnds[0]);
        return nullptr;
    }
    return std::unique_ptr<ChildProcess>(new ChildProcess(pid, pipeEnds[0]));
}

ChildProcess::ChildProcess(pid_t pid, int output) : m_pid(pid), m_output(output)
{
}

ChildProcess::~ChildProcess()
{
    kill();
    ::close(m_output);
}

std::string ChildProcess::waitForAddress(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    const std::string prefix = "listening ";
    std::string text;
    while (std::chrono::steady_clock::now() < end) {
        pollfd ready { m_output, POLLIN, 0 };
        if (::poll(&ready, 1, static_cast<int>(PollInterval.count())) <= 0) {
            continue;
        }
        char buffer[512];
        const ssize_t size = ::read(m_output, buffer, sizeof(buffer));
        if (size <= 0) {
            return {};
        }
        text.append(buffer, static_cast<std::size_t>(size));
        const std::size_t at = text.find(prefix);
        const std::size_t lineEnd = at == std::string::npos ? at : text.find('\n', at);
        if (lineEnd != std::string::npos) {
            return text.substr(at + prefix.size(), lineEnd - at - prefix.size());
        }
    }
    return {};
}

void ChildProcess::terminate()
{
    if (!m_ended) {
        ::kill(m_pid, SIGTERM);
    }
}

void ChildProcess::kill()
{
    if (m_ended) {
        return;
    }
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, &m_status, 0);
    m_ended = true;
}

bool ChildProcess::waitForExit(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!m_ended) {
        m_ended = ::waitpid(m_pid, &m_status, WNOHANG) == m_pid;
        if (m_ended || std::chrono::steady_clock::now() >= end) {
            break;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return m_ended;
}

} // namespace carobjunction::bench
