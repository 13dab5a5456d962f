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
constexpr int exitBroken = 1;
constexpr int exitBadInput = 2;
constexpr std::size_t mostPrinted = 20;
/// Name of the file in the log directory to which the plan is written.
constexpr const char *planFile = "plan.txt";

/// Prints how many calls ended in which way, so that a soak whose calls reached nothing is not
/// mistaken for a successful one.
void printEnds(const SoakHistory &history)
{
    std::map<std::string, std::size_t> ends;
    for (const CallRecord &call : history.calls) {
        switch (call.outcome) {
        case CallOutcome::Completed:
            ++ends["status " + std::to_string(call.status)];
            break;
        case CallOutcome::NotConnected:
            ++ends["not connected"];
            break;
        case CallOutcome::Truncated:
            ++ends["cut"];
            break;
        case CallOutcome::Abandoned:
            ++ends["left"];
            break;
        }
    }
    std::cout << " ";
    for (const auto &[end, count] : ends) {
        std::cout << " " << end << ": " << count << ";";
    }
    std::cout << "\n";
}

/// Command-line options.
struct Session
{
    SoakOptions options;
    /// Replaces the plan generated from the seed.
    std::optional<std::vector<FaultStep>> plan;
    std::string program;
    std::filesystem::path logs;
    bool keepsLogs = false;
};

void printFound(const std::vector<Violation> &found, const Session &session,
                const std::filesystem::path &directory)
{
    for (std::size_t i = 0; i < std::min(found.size(), mostPrinted); ++i) {
        std::cout << "  " << found[i].check << ": " << found[i].description << "\n";
    }
    const SoakOptions &options = session.options;
    std::cout << "  rerun: plantain-soak --program PLANTAIND --seed " << options.seed
              << " --seconds " << options.faultSeconds << " --routers " << options.routers
              << " --upstreams " << options.upstreams << " --callers " << options.callers
              << " --plan " << (directory / planFile).string() << "\n  logs: " << directory.string()
              << std::endl;
}

/// Runs the soak of one seed. \returns whether no guarantee was violated.
bool playOne(const Session &session)
{
    const std::filesystem::path directory =
        session.logs / ("seed-" + std::to_string(session.options.seed));
    std::filesystem::remove_all(directory);
    std::filesystem::create_directories(directory);
    const std::vector<FaultStep> plan =
        session.plan ? *session.plan : generatePlan(session.options);
    std::ofstream(directory / planFile) << textOf(plan);
    Soak soak(session.options, plan, session.program, directory);
    const SoakHistory &history = soak.run();
    const std::vector<Violation> found = checkHistory(history, SoakBounds{});
    std::cout << "seed " << session.options.seed << ": " << history.calls.size() << " calls, "
              << history.runs.size() << " runs, " << plan.size() << " faults, " << found.size()
              << " guarantees violated\n";
    printEnds(history);
    std::cout << std::flush;
    if (!found.empty()) {
        printFound(found, session, directory);
        return false;
    }
    if (!session.keepsLogs) {
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
    Session session;
    SoakOptions &chosen = session.options;
    std::string logs;
    std::string plan;
    std::uint64_t seeds = 1;
    options::options_description described(
        "plantain-soak: injects faults around router processes and checks what callers and "
        "upstreams observe");
    described.add_options()("help", "show this text")(
        "program", options::value(&session.program)->required(),
        "path of plantaind")("logs", options::value(&logs)->default_value("soak-logs"),
                             "directory for settings and logs; kept for seeds that fail")(
        "seed", options::value(&chosen.seed)->default_value(chosen.seed),
        "first seed")("seeds", options::value(&seeds)->default_value(seeds),
                      "number of consecutive seeds to run")(
        "seconds", options::value(&chosen.faultSeconds)->default_value(chosen.faultSeconds),
        "seconds in which faults are injected; about 20 without faults follow")(
        "routers", options::value(&chosen.routers)->default_value(chosen.routers),
        "number of routers")("upstreams",
                             options::value(&chosen.upstreams)->default_value(chosen.upstreams),
                             "number of upstreams")(
        "callers", options::value(&chosen.callers)->default_value(chosen.callers),
        "callers")("pause",
                   options::value(&chosen.meanFaultIntervalSeconds)
                       ->default_value(chosen.meanFaultIntervalSeconds),
                   "mean time between two faults, in seconds")(
        "plan", options::value(&plan),
        "file with the faults to inject instead of those generated from the seed")(
        "keep", "keep the logs of seeds that pass too");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        if (given.count("help") > 0) {
            std::cout << described << "\n";
            return exitOk;
        }
        options::notify(given);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n";
        return exitBadInput;
    }
    if (chosen.routers == 0 || chosen.upstreams == 0 || chosen.meanFaultIntervalSeconds <= 0.0) {
        std::cerr << "--routers, --upstreams and --pause must be above 0\n";
        return exitBadInput;
    }
    if (!plan.empty() && !(session.plan = readPlan(plan))) {
        std::cerr << plan
                  << ": can't be read, or a line is not \"MILLISECONDS FAULT TARGET DURATION "
                     "INTENSITY\"\n";
        return exitBadInput;
    }
    session.logs = logs;
    session.keepsLogs = given.count("keep") > 0;
    std::signal(SIGPIPE, SIG_IGN);
    std::uint64_t broken = 0;
    for (std::uint64_t i = 0; i < seeds; ++i) {
        broken += playOne(session) ? 0 : 1;
        ++chosen.seed;
    }
    std::cout << seeds - broken << " of " << seeds << " seeds passed" << std::endl;
    return broken == 0 ? exitOk : exitBroken;
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
