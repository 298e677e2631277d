#pragma once

#include <sys/types.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace carobjunction::bench
{

/** A child process. It is killed when this object is destroyed or when the thread that started it ends. */
class ChildProcess
{
public:
    /**
     * Starts a program with its standard output connected to a pipe. The calling thread must outlive the process: the kernel kills the process when
     * the thread ends, so that no process is left running if the parent crashes.
     * @param arguments  path of the program, followed by its arguments
     * @param errorFile  path of the file to which the program's standard error is appended
     * @return the process, or null if it could not be started
     */
    static std::unique_ptr<ChildProcess> start(const std::vector<std::string> &arguments, const std::string &errorFile);

    /**
     * Starts a program with its standard output and standard error appended to a file. waitForListeningAddress() can't be used with such a process.
     * The calling thread must outlive the process, as with start().
     * @param arguments  path of the program, followed by its arguments
     * @param logFile  path of the file to which the output is appended
     * @return the process, or null if it could not be started
     */
    static std::unique_ptr<ChildProcess> startWithLogFile(const std::vector<std::string> &arguments, const std::string &logFile);

    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /**
     * Waits until the program prints a line `listening ADDRESS` to its standard output.
     * @param timeout  maximum waiting time
     * @return the address, or an empty string if the program printed none within @p timeout or closed its standard output
     */
    std::string waitForListeningAddress(std::chrono::milliseconds timeout);

    /** Sends SIGTERM to the process if it is running. Doesn't wait for it to exit. */
    void terminate();

    /** Sends SIGKILL to the process if it is running, and reaps it. */
    void kill();

    /**
     * Waits for the process to exit, and reaps it.
     * @param timeout  maximum waiting time; 0 checks once without waiting
     * @return whether the process has exited
     */
    bool waitForExit(std::chrono::milliseconds timeout);

    /** @return status of the process as reported by waitpid(); valid once the process has exited */
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
