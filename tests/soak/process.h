#pragma once

#include <optional>
#include <string>

#include <sys/types.h>

namespace plantainswitch::soak {

/// A router's process: started, signalled and reaped by its id.
class RouterProcess
{
public:
    /// \param program path of plantaind
    /// \param settings path of its settings file
    /// \param log file to which its output is appended
    RouterProcess(std::string program, std::string settings, std::string log)
        : program(std::move(program))
        , settings(std::move(settings))
        , log(std::move(log))
    {}
    ~RouterProcess();
    RouterProcess(const RouterProcess &) = delete;
    RouterProcess &operator=(const RouterProcess &) = delete;

    void start();
    /// Sends \a number if the process runs.
    void signal(int number);
    /// \returns the system's id of the process, above 0 while it runs.
    [[nodiscard]] pid_t processId() const noexcept { return this->pid; }
    [[nodiscard]] bool isRunning() const noexcept { return this->pid > 0; }
    /// \returns how the process ended, if it has since the last call; it doesn't run any more then.
    std::optional<std::string> reap();

private:
    std::string program;
    std::string settings;
    std::string log;
    pid_t pid = 0;
};

} // namespace plantainswitch::soak
