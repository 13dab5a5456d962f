#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>

#include "router.h"

namespace {

using namespace plantainswitch;
namespace options = boost::program_options;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadInput = 2;

std::optional<Settings> loadSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": can't be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    std::vector<Fault> faults;
    auto settings = parseSettings(text.str(), faults);
    for (const Fault &fault : faults) {
        std::cerr << path << ": " << toText(fault) << "\n";
    }
    return settings;
}

int runDaemon(int argc, char **argv)
{
    options::options_description described("plantaind, the router daemon");
    described.add_options()("help", "show this text")("version", "show the version")(
        "config", options::value<std::string>(),
        "the settings file")("check-config", "check the settings and leave");
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
    if (given.count("config") == 0) {
        std::cerr << "--config FILE is needed\n";
        return exitBadInput;
    }
    auto settings = loadSettings(given["config"].as<std::string>());
    if (!settings) {
        return exitBadInput;
    }
    if (given.count("check-config") > 0) {
        std::cout << "the settings are good\n";
        return exitOk;
    }
    startLogging(settings->logFormat, settings->logLevel, settings->id);
    const SystemClock clock;
    Router router(std::move(*settings), clock);
    router.run();
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runDaemon(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "plantaind: " << error.what() << "\n";
        return exitFailed;
    }
}
