#pragma once

#include <sys/types.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace carobjunction::bench
{

/** A program started by the bench. Ends with this object, and with the thread that started it. */
class ChildProcess
{
public:
    /**
     * Starts a program. The calling thread must outlive it: the kernel kills the program when the thread ends, so that none is left behind
     * after a crash of the bench.
     * @param arguments  path of the program and its arguments
     * @param errorFile  path that gets the program's standard error
     * @return the process, or null if it can't be started
     */
    static std::unique_ptr<ChildProcess> start(const std::vector<std::string> &arguments, const std::string &errorFile);

    /** The same, with standard output and standard error in @p logFile; waitForListeningAddress() finds nothing. */
    static std::unique_ptr<ChildProcess> startLogged(const std::vector<std::string> &arguments, const std::string &logFile);

    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /**
     * Waits for a line `listening ADDRESS` on the program's standard output.
     * @return the address, or an empty string if none came in time
     */
    std::string waitForListeningAddress(std::chrono::milliseconds timeout);

    /** Asks the program to stop (SIGTERM). */
    void terminate();

    /** Kills the program at once and reaps it. */
    void kill();

    /**
     * Reaps the program if it ends in time.
     * @return whether it has ended
     */
    bool waitForExit(std::chrono::milliseconds timeout);

    /** @return exit status as of waitpid(); valid once the program has ended */
    int status() const
    {
        return m_waitStatus;
    }

    pid_t pid() const
    {
        return m_pid;
    }

private:
    enum class Output { Pipe, ErrorFile };

    ChildProcess(pid_t pid, int outputFd);
    static std::unique_ptr<ChildProcess> start(const std::vector<std::string> &arguments, const std::string &errorFile, Output output);

    pid_t m_pid;
    int m_outputFd;
    bool m_hasExited = false;
    int m_waitStatus = 0;
};

} // namespace carobjunction::bench
