#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>

#include <boost/program_options.hpp>

#include "soak.h"

using namespace plantainswitch::soak;
namespace options = boost::program_options;

namespace {

constexpr int exitOk = 0;
constexpr int exitViolations = 1;
constexpr int exitBadInput = 2;
constexpr std::size_t maxPrinted = 20;
/// Name of the file in the log directory to which the plan is written.
constexpr const char *planFile = "plan.txt";

/// Prints how many calls ended in which way, so that a soak whose calls reached nothing is not
/// mistaken for a successful one.
void printOutcomes(const SoakHistory &history)
{
    std::map<std::string, std::size_t> outcomes;
    for (const CallRecord &call : history.calls) {
        switch (call.outcome) {
        case CallOutcome::Completed:
            ++outcomes["status " + std::to_string(call.status)];
            break;
        case CallOutcome::NotConnected:
            ++outcomes["not connected"];
            break;
        case CallOutcome::Truncated:
            ++outcomes["cut"];
            break;
        case CallOutcome::Abandoned:
            ++outcomes["left"];
            break;
        }
    }
    std::cout << " ";
    for (const auto &[outcome, count] : outcomes) {
        std::cout << " " << outcome << ": " << count << ";";
    }
    std::cout << "\n";
}

/// Command-line options.
struct Arguments
{
    SoakOptions options;
    /// Replaces the plan generated from the seed.
    std::optional<std::vector<FaultStep>> plan;
    std::string program;
    std::filesystem::path logs;
    bool keepLogs = false;
};

void printViolations(const std::vector<Violation> &violations, const Arguments &arguments,
                     const std::filesystem::path &directory)
{
    for (std::size_t i = 0; i < std::min(violations.size(), maxPrinted); ++i) {
        std::cout << "  " << violations[i].check << ": " << violations[i].description << "\n";
    }
    const SoakOptions &options = arguments.options;
    std::cout << "  rerun: plantain-soak --program PLANTAIND --seed " << options.seed
              << " --seconds " << options.faultSeconds << " --routers " << options.routers
              << " --upstreams " << options.upstreams << " --callers " << options.callers
              << " --plan " << (directory / planFile).string() << "\n  logs: " << directory.string()
              << std::endl;
}

/// Runs the soak of one seed. \returns whether no guarantee was violated.
bool runSeed(const Arguments &arguments)
{
    const std::filesystem::path directory =
        arguments.logs / ("seed-" + std::to_string(arguments.options.seed));
    std::filesystem::remove_all(directory);
    std::filesystem::create_directories(directory);
    const std::vector<FaultStep> plan =
        arguments.plan ? *arguments.plan : generatePlan(arguments.options);
    std::ofstream(directory / planFile) << textOf(plan);
    Soak soak(arguments.options, plan, arguments.program, directory);
    const SoakHistory &history = soak.run();
    const std::vector<Violation> violations = checkHistory(history, SoakBounds{});
    std::cout << "seed " << arguments.options.seed << ": " << history.calls.size() << " calls, "
              << history.runs.size() << " runs, " << plan.size() << " faults, " << violations.size()
              << " guarantees violated\n";
    printOutcomes(history);
    std::cout << std::flush;
    if (!violations.empty()) {
        printViolations(violations, arguments, directory);
        return false;
    }
    if (!arguments.keepLogs) {
        std::filesystem::remove_all(directory);
    }
    return true;
}

std::optional<std::vector<FaultStep>> readPlan(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return file ? parsePlan(text.str()) : std::nullopt;
}

int run(int argc, char **argv)
{
    Arguments arguments;
    SoakOptions &soak = arguments.options;
    std::string logs;
    std::string plan;
    std::uint64_t seeds = 1;
    options::options_description description(
        "plantain-soak: injects faults around routers, checks what callers and upstreams see");
    description.add_options()("help", "show this text")(
        "program", options::value(&arguments.program)->required(),
        "path of plantaind")("logs", options::value(&logs)->default_value("soak-logs"),
                             "directory for settings and logs; kept for seeds that fail")(
        "seed", options::value(&soak.seed)->default_value(soak.seed), "first seed")(
        "seeds", options::value(&seeds)->default_value(seeds), "number of seeds to run")(
        "seconds", options::value(&soak.faultSeconds)->default_value(soak.faultSeconds),
        "seconds in which faults are injected; about 20 without faults follow")(
        "routers", options::value(&soak.routers)->default_value(soak.routers), "routers")(
        "upstreams", options::value(&soak.upstreams)->default_value(soak.upstreams),
        "upstreams")("callers", options::value(&soak.callers)->default_value(soak.callers),
                     "callers")("pause",
                                options::value(&soak.meanFaultIntervalSeconds)
                                    ->default_value(soak.meanFaultIntervalSeconds),
                                "mean time between two faults, in seconds")(
        "plan", options::value(&plan),
        "file with the faults to inject instead of those generated from the seed")(
        "keep", "keep the logs of seeds that pass too");
    options::variables_map variables;
    try {
        options::store(options::parse_command_line(argc, argv, description), variables);
        if (variables.count("help") > 0) {
            std::cout << description << "\n";
            return exitOk;
        }
        options::notify(variables);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n";
        return exitBadInput;
    }
    if (soak.routers == 0 || soak.upstreams == 0 || soak.meanFaultIntervalSeconds <= 0.0) {
        std::cerr << "--routers, --upstreams and --pause must be above 0\n";
        return exitBadInput;
    }
    if (!plan.empty() && !(arguments.plan = readPlan(plan))) {
        std::cerr << plan
                  << ": can't be read, or a line is not \"MILLISECONDS FAULT TARGET DURATION "
                     "INTENSITY\"\n";
        return exitBadInput;
    }
    arguments.logs = logs;
    arguments.keepLogs = variables.count("keep") > 0;
    std::signal(SIGPIPE, SIG_IGN);
    std::uint64_t failed = 0;
    for (std::uint64_t i = 0; i < seeds; ++i) {
        failed += runSeed(arguments) ? 0 : 1;
        ++soak.seed;
    }
    std::cout << seeds - failed << " of " << seeds << " seeds passed" << std::endl;
    return failed == 0 ? exitOk : exitViolations;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "plantain-soak: " << error.what() << "\n";
        return exitBadInput;
    }
}
