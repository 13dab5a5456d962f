#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include "callsbench.h"
#include "claimsbench.h"
#include "demo.h"
#include "deployment.h"
#include "fairness.h"
#include "limitsim.h"
#include "load.h"
#include "membersbench.h"
#include "policy.h"
#include "relaybench.h"
#include "scale.h"
#include "standins.h"

namespace {

using namespace plantainswitch;
using namespace plantainswitch::lab;
namespace options = boost::program_options;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadInput = 2;

constexpr const char *usage = R"(plantain-lab COMMAND [options]

Commands:
  settings   write the settings of a deployment's routers
  stand-ins  play platform, engines and plain service of a deployment
  load       send returning chats to a deployment's routers and check the answers
  relay      measure what the bench deployment's router adds; needs --router-pid
  calls      count real routers' calls to the platform and their control bytes
  claims     run the claims' functions over a store in memory with one fault
  members    run the membership functions over a queue of messages with loss and deaths
  demo       stand-ins, load and an edit for all deployments; prints a table
  fairness   measure the waits of others while one workspace surges
  limits     measure a workspace's limit over many routers
  policy     play a placement policy in the bench; see plantain-lab policy --help
  scale      measure how time and memory of the library's parts grow with each size

)";

std::vector<Deployment> chosenDeployments(const options::variables_map &given)
{
    std::vector<Deployment> result;
    const std::string wanted = given["deployment"].as<std::string>();
    const auto names = wanted == "all" ? deploymentNames() : std::vector<std::string>{wanted};
    for (const std::string &name : names) {
        if (deploymentOf(name)) {
            Deployment deployment = *deploymentOf(name);
            deployment.basePort = static_cast<std::uint16_t>(deployment.basePort
                                                             + given["port-offset"].as<unsigned>());
            result.push_back(std::move(deployment));
        }
    }
    return result;
}

int writeSettings(const std::vector<Deployment> &deployments, const std::string &directory)
{
    std::filesystem::create_directories(directory);
    for (const Deployment &deployment : deployments) {
        for (const RouterLayout &router : routersOf(deployment)) {
            const auto path = std::filesystem::path(directory) / (router.id + ".json");
            std::ofstream file(path);
            file << settingsOf(deployment, router).dump(4) << "\n";
            if (!file.flush()) {
                std::cerr << path.string() << ": can't be written\n";
                return exitFailed;
            }
            std::cout << path.string() << "\n";
        }
    }
    return exitOk;
}

int playStandIns(const std::vector<Deployment> &deployments)
{
    asio::io_context context;
    std::vector<std::unique_ptr<StandIns>> all;
    for (const Deployment &deployment : deployments) {
        all.push_back(std::make_unique<StandIns>(context, deployment));
        all.back()->open();
        std::cout << deployment.name << ": platform at " << toText(platformOf(deployment)) << "\n";
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const asio::error_code &, int) { context.stop(); });
    std::thread second([&context] { context.run(); });
    context.run();
    second.join();
    return exitOk;
}

int runLoad(const Deployment &deployment, const LoadOptions &load)
{
    asio::io_context context;
    auto guard = asio::make_work_guard(context);
    Load run(context, deployment, load);
    std::promise<void> end;
    run.start([&end] { end.set_value(); });
    std::thread worker([&context] { context.run(); });
    end.get_future().wait();
    context.stop();
    worker.join();
    std::cout << run.report().dump(2) << "\n";
    return run.broken() == 0 && run.whole() > 0 ? exitOk : exitFailed;
}

int runScale(const options::variables_map &given)
{
    ScaleOptions scale;
    scale.shrink = std::max(1U, given["shrink"].as<unsigned>());
    const nlohmann::ordered_json report = scaleReport(scale);
    if (given.count("json") > 0) {
        std::cout << report.dump(2) << "\n";
        return exitOk;
    }
    for (const auto &series : report["series"]) {
        std::cout << series["name"].get<std::string>() << ": " << series["intercept"].get<double>()
                  << " + " << series["slope"].get<double>() << " "
                  << series["unit"].get<std::string>() << " per "
                  << series["size"].get<std::string>() << ", fit " << series["fit"].get<double>()
                  << ", largest " << series["points"].back()["value"].get<double>() << " at "
                  << series["points"].back()["size"].get<double>() << "\n";
    }
    for (const auto &message : report["messages"]) {
        std::cout << message["name"].get<std::string>() << ": " << message["bytes"] << " bytes\n";
    }
    return exitOk;
}

int runMembersBench(const options::variables_map &given)
{
    MembersOptions members;
    members.routers = given["routers"].as<unsigned>();
    members.places = given["places"].as<unsigned>();
    members.loss = given["loss"].as<double>();
    members.seed = given["seed"].as<std::uint64_t>();
    members.seconds = given["seconds"].as<unsigned>();
    members.deaths = given["deaths"].as<unsigned>();
    members.cutSeconds = given["cut"].as<unsigned>();
    if (members.routers < members.deaths + 2 || members.places == 0) {
        std::cerr << "there must be places, and more routers than deaths\n";
        return exitBadInput;
    }
    printMembers(members, runMembers(members));
    return exitOk;
}

int runClaimsBench(const options::variables_map &given)
{
    ClaimsOptions claims;
    const auto fault = claimFaultOf(given["fault"].as<std::string>());
    claims.routers = given["routers"].as<unsigned>();
    claims.places = given["places"].as<unsigned>();
    claims.claimsPerSecond = given["rate"].as<double>();
    claims.seconds = given["seconds"].as<unsigned>();
    claims.seed = given["seed"].as<std::uint64_t>();
    claims.loss = given["loss"].as<double>();
    claims.cutPlaces = given["cut-places"].as<unsigned>();
    claims.storeTime = Milliseconds{given["store-ms"].as<unsigned>()};
    if (given["cut"].as<unsigned>() > 0) {
        claims.faultSeconds = given["cut"].as<unsigned>();
    }
    if (!fault || claims.routers < claims.places || claims.places == 0 || claims.seconds == 0
        || claims.claimsPerSecond <= 0) {
        std::cerr << "there must be a fault by name, places, more routers, a rate and a time\n";
        return exitBadInput;
    }
    claims.fault = *fault;
    const nlohmann::ordered_json report = measureClaims(claims);
    if (given.count("json") > 0) {
        std::cout << report.dump(2) << "\n";
        return exitOk;
    }
    for (const auto &[name, value] : report.items()) {
        std::cout << name << ": " << value.dump() << "\n";
    }
    return exitOk;
}

int runCommand(const std::string &command, const options::variables_map &given)
{
    if (command == "scale") {
        return runScale(given);
    }
    if (command == "claims") {
        return runClaimsBench(given);
    }
    const std::vector<Deployment> deployments = chosenDeployments(given);
    if (deployments.empty()) {
        std::cerr << "there is no such deployment\n";
        return exitBadInput;
    }
    if (command == "fairness") {
        std::cout << measureFairness(given["seed"].as<std::uint64_t>()).dump(2) << "\n";
        return exitOk;
    }
    if (command == "limits") {
        const auto seed = given["seed"].as<std::uint64_t>();
        std::cout << measureLimits(seed, given["routers"].as<unsigned>()).dump(2) << "\n";
        return exitOk;
    }
    if (command == "settings") {
        return writeSettings(deployments, given["directory"].as<std::string>());
    }
    if (command == "stand-ins") {
        return playStandIns(deployments);
    }
    if (command == "load") {
        LoadOptions load;
        load.duration = std::chrono::seconds(given["seconds"].as<unsigned>());
        load.requestsPerSecond = given["rate"].as<double>();
        load.seed = given["seed"].as<std::uint64_t>();
        return runLoad(deployments.front(), load);
    }
    if (command == "relay") {
        const auto measured = measureRelay(deployments.front(), given["router-pid"].as<int>());
        std::cout << measured.dump(2) << "\n";
        return exitOk;
    }
    if (command == "demo") {
        DemoOptions demo;
        demo.duration = std::chrono::seconds(given["seconds"].as<unsigned>());
        demo.requestsPerSecond = given["rate"].as<double>();
        demo.seed = given["seed"].as<std::uint64_t>();
        return runDemo(deployments, demo) ? exitOk : exitFailed;
    }
    if (command == "members") {
        return runMembersBench(given);
    }
    if (command == "calls") {
        CallsOptions calls;
        calls.routers = given["routers"].as<unsigned>();
        calls.duration = std::chrono::seconds(given["seconds"].as<unsigned>());
        calls.editsPerSecond = given["edits"].as<double>();
        calls.basePort = deployments.front().basePort;
        return runCalls(calls) ? exitOk : exitFailed;
    }
    std::cerr << "there is no command " << command << "\n";
    return exitBadInput;
}

int runLab(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "policy") {
        return runPolicyCommand({argv + 2, argv + argc});
    }
    options::options_description described("Options");
    described.add_options()("help", "show this text")("command", options::value<std::string>(),
                                                      "what to do")(
        "deployment", options::value<std::string>()->default_value("all"),
        "cooperative, lowther, bench or all")(
        "directory", options::value<std::string>()->default_value("settings.d"),
        "where settings are written")("seconds", options::value<unsigned>()->default_value(15),
                                      "how long the load lasts")(
        "rate", options::value<double>()->default_value(60), "requests a second and deployment")(
        "seed", options::value<std::uint64_t>()->default_value(1), "seed of the load")(
        "router-pid", options::value<int>()->default_value(0), "the bench router's process")(
        "routers", options::value<unsigned>()->default_value(8),
        "number of routers")("edits", options::value<double>()->default_value(0), "edits a second")(
        "port-offset", options::value<unsigned>()->default_value(0),
        "added to every port, so that several demos fit on one machine")(
        "json", "scale, claims: print JSON")("shrink", options::value<unsigned>()->default_value(1),
                                             "scale: divide each size");
    described.add_options()("places", options::value<unsigned>()->default_value(1),
                            "places of the members' run")(
        "loss", options::value<double>()->default_value(0.05), "share of lost datagrams")(
        "deaths", options::value<unsigned>()->default_value(5), "routers that die")(
        "cut", options::value<unsigned>()->default_value(0),
        "seconds for which the first place is cut off, or a fault of claims lasts")(
        "fault", options::value<std::string>()->default_value("none"),
        "claims: none, silent, cut or store-down")("cut-places",
                                                   options::value<unsigned>()->default_value(1),
                                                   "claims: places that are cut off")(
        "store-ms", options::value<unsigned>()->default_value(3), "claims: time of a store's call");
    options::positional_options_description positions;
    positions.add("command", 1);
    options::variables_map given;
    try {
        options::store(
            options::command_line_parser(argc, argv).options(described).positional(positions).run(),
            given);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n";
        return exitBadInput;
    }
    if (given.count("help") > 0 || given.count("command") == 0) {
        std::cout << usage << described << "\n";
        return given.count("help") > 0 ? exitOk : exitBadInput;
    }
    return runCommand(given["command"].as<std::string>(), given);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runLab(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "plantain-lab: " << error.what() << "\n";
        return exitFailed;
    }
}
