#pragma once

#include <optional>
#include <string>

#include <sys/types.h>

namespace plantainswitch::soak {

/// A router process. Killed and reaped by the destructor if it still runs.
class RouterProcess
{
public:
    /// \param program path of plantaind
    /// \param settings path of its settings file
    /// \param log file to which its standard output and error are appended
    RouterProcess(std::string program, std::string settings, std::string log)
        : program(std::move(program))
        , settings(std::move(settings))
        , log(std::move(log))
    {}
    ~RouterProcess();
    RouterProcess(const RouterProcess &) = delete;
    RouterProcess &operator=(const RouterProcess &) = delete;

    void start();
    /// Sends signal \a number if the process runs.
    void signal(int number);
    /// \returns the process id, or 0 if no process runs.
    [[nodiscard]] pid_t processId() const noexcept { return this->pid; }
    [[nodiscard]] bool isRunning() const noexcept { return this->pid > 0; }
    /// Reaps the process if it has ended. \returns "exit N" or "signal N", or nothing if it still
    /// runs or was never started.
    std::optional<std::string> reap();

private:
    std::string program;
    std::string settings;
    std::string log;
    pid_t pid = 0;
};

} // namespace plantainswitch::soak
