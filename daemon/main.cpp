#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>

#include "gateway.h"
#include "platformdialect.h"
#include "router.h"
#include "signalmask.h"

namespace {

using namespace plantainswitch;
namespace options = boost::program_options;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadInput = 2;

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": can't be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Loads settings with \a parse and prints their faults to stderr.
template<typename Parse>
auto loadSettings(const std::string &path, Parse parse)
{
    std::vector<Fault> faults;
    const std::optional<std::string> text = readFile(path);
    auto settings = parse(text.value_or(""), faults);
    for (const Fault &fault : faults) {
        std::cerr << path << ": " << toText(fault) << "\n";
    }
    return settings;
}

int runRouter(const std::string &path, bool onlyCheck)
{
    auto settings = loadSettings(path, parseSettings);
    if (!settings) {
        return exitBadInput;
    }
    if (onlyCheck) {
        std::cout << "the settings are good\n";
        return exitOk;
    }
    startLogging(settings->log, settings->id);
    const SystemClock clock;
    Router router(std::move(*settings), clock);
    router.run();
    return exitOk;
}

int runGateway(const std::string &path, bool onlyCheck)
{
    auto settings = loadSettings(path, gateway::parseGatewaySettings);
    if (!settings) {
        return exitBadInput;
    }
    if (onlyCheck) {
        std::cout << "the settings are good\n";
        return exitOk;
    }
    gateway::blockHandledSignals();
    // A write to a connection that its peer closed must fail with an error, not terminate the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    const SystemClock clock;
    const platform::PlatformDialect dialect;
    gateway::Gateway router(clock, dialect, std::move(*settings),
                            [path] { return readFile(path); });
    router.run();
    return exitOk;
}

/// \returns the path of the settings file: from --config, or from the environment variable that
/// --config-env names.
std::optional<std::string> settingsPath(const options::variables_map &given)
{
    if (given.count("config") > 0) {
        return given["config"].as<std::string>();
    }
    if (given.count("config-env") == 0) {
        std::cerr << "--config FILE or --config-env NAME is needed\n";
        return std::nullopt;
    }
    const std::string &name = given["config-env"].as<std::string>();
    const char *const path = std::getenv(name.c_str());
    if (path == nullptr) {
        std::cerr << "the environment has no " << name << "\n";
        return std::nullopt;
    }
    return std::string(path);
}

int runDaemon(int argc, char **argv)
{
    options::options_description described("plantaind, the router daemon");
    described.add_options()("help", "show this text")("version", "show the version")(
        "config", options::value<std::string>(),
        "the settings file")("config-env", options::value<std::string>(),
                             "the environment variable that holds the settings file's path")(
        "dialect", options::value<std::string>()->default_value("own"),
        "whom it serves: own (plantainswitch's callers and engines) or platform")(
        "check-config", "check the settings and leave");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n";
        return exitBadInput;
    }
    if (given.count("help") > 0) {
        std::cout << described << "\n";
        return exitOk;
    }
    if (given.count("version") > 0) {
        std::cout << "plantaind " << PLANTAINSWITCH_VERSION << "\n";
        return exitOk;
    }
    const std::string &dialect = given["dialect"].as<std::string>();
    if (dialect != "own" && dialect != "platform") {
        std::cerr << "--dialect is own or platform, not " << dialect << "\n";
        return exitBadInput;
    }
    const auto path = settingsPath(given);
    if (!path) {
        return exitBadInput;
    }
    const bool onlyCheck = given.count("check-config") > 0;
    return dialect == "own" ? runRouter(*path, onlyCheck) : runGateway(*path, onlyCheck);
}

} // namespace

int main(int argc, char **argv)
{
    // SIGHUP asks for a reload of the settings. It must not terminate a process that still loads
    // them.
    std::signal(SIGHUP, SIG_IGN);
    try {
        return runDaemon(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "plantaind: " << error.what() << "\n";
        return exitFailed;
    }
}
