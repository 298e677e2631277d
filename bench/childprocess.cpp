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

[[noreturn]] void execProgram(const std::vector<char *> &arguments, int outputFd, int errorFd, pid_t parentPid)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parentPid) {
        ::_exit(127);
    }
    ::dup2(outputFd, STDOUT_FILENO);
    ::dup2(errorFd, STDERR_FILENO);
    ::execv(arguments.front(), arguments.data());
    ::_exit(127);
}

} // namespace

std::unique_ptr<ChildProcess> ChildProcess::start(const std::vector<std::string> &arguments, const std::string &errorFile)
{
    return start(arguments, errorFile, Output::Pipe);
}

std::unique_ptr<ChildProcess> ChildProcess::startWithLogFile(const std::vector<std::string> &arguments, const std::string &logFile)
{
    return start(arguments, logFile, Output::ErrorFile);
}

std::unique_ptr<ChildProcess> ChildProcess::start(const std::vector<std::string> &arguments, const std::string &errorFile, Output output)
{
    std::vector<std::string> argumentCopies = arguments;
    std::vector<char *> argv;
    argv.reserve(argumentCopies.size() + 1);
    for (std::string &argument : argumentCopies) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    int pipeFds[2];
    if (::pipe2(pipeFds, O_CLOEXEC) != 0) {
        return nullptr;
    }
    const int errorFd = ::open(errorFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t parentPid = ::getpid();
    const pid_t pid = errorFd < 0 ? -1 : ::fork();
    if (pid == 0) {
        execProgram(argv, output == Output::Pipe ? pipeFds[1] : errorFd, errorFd, parentPid);
    }
    ::close(pipeFds[1]);
    if (errorFd >= 0) {
        ::close(errorFd);
    }
    if (pid < 0) {
        ::close(pipeFds[0]);
        return nullptr;
    }
    return std::unique_ptr<ChildProcess>(new ChildProcess(pid, pipeFds[0]));
}

ChildProcess::ChildProcess(pid_t pid, int outputFd) : m_pid(pid), m_outputFd(outputFd)
{
}

ChildProcess::~ChildProcess()
{
    kill();
    ::close(m_outputFd);
}

std::string ChildProcess::waitForListeningAddress(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const std::string prefix = "listening ";
    std::string text;
    while (std::chrono::steady_clock::now() < deadline) {
        pollfd ready { m_outputFd, POLLIN, 0 };
        if (::poll(&ready, 1, static_cast<int>(PollInterval.count())) <= 0) {
            continue;
        }
        char buffer[512];
        const ssize_t size = ::read(m_outputFd, buffer, sizeof(buffer));
        if (size <= 0) {
            return {};
        }
        text.append(buffer, static_cast<std::size_t>(size));
        const std::size_t prefixStart = text.find(prefix);
        const std::size_t lineEnd = prefixStart == std::string::npos ? prefixStart : text.find('\n', prefixStart);
        if (lineEnd != std::string::npos) {
            return text.substr(prefixStart + prefix.size(), lineEnd - prefixStart - prefix.size());
        }
    }
    return {};
}

void ChildProcess::terminate()
{
    if (!m_hasExited) {
        ::kill(m_pid, SIGTERM);
    }
}

void ChildProcess::kill()
{
    if (m_hasExited) {
        return;
    }
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, &m_waitStatus, 0);
    m_hasExited = true;
}

bool ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!m_hasExited) {
        m_hasExited = ::waitpid(m_pid, &m_waitStatus, WNOHANG) == m_pid;
        if (m_hasExited || std::chrono::steady_clock::now() >= deadline) {
            break;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return m_hasExited;
}

} // namespace carobjunction::bench
