#include "policy.h"

#include <algorithm>
#include <iostream>

#include <boost/program_options.hpp>

#include "policysim.h"
#include "policyworld.h"

namespace plantainswitch::lab {

namespace {

namespace po = boost::program_options;

constexpr int exitOk = 0;
constexpr int exitBadInput = 2;
constexpr double median = 0.5;
constexpr double percentile99 = 0.99;

double quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0.0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

double reuseOf(const PolicyResult &result)
{
    return result.reusableTokens == 0 ? 0.0
                                      : static_cast<double>(result.reusedTokens)
                                            / static_cast<double>(result.reusableTokens);
}

po::options_description describeOptions(PolicyOptions &options)
{
    po::options_description described("plantain-lab policy, the policy bench");
    described.add_options()("help", "show this text")("json", "print JSON, the only format")(
        "policy", po::value(&options.policy),
        "random, least-loaded, hash, local-bound, keeper-hash, keeper-last, plantain")(
        "routers", po::value(&options.routers), "routers")(
        "engines", po::value(&options.engines), "engines")("places", po::value(&options.places),
                                                           "places, each a pool of its own")(
        "shards", po::value(&options.shards), "shards of a place; 0: one for each fifty engines")(
        "seed", po::value(&options.seed),
        "seed of trace and choices")("seconds", po::value(&options.seconds), "length of the trace")(
        "rate", po::value(&options.rate), "requests a second; 0: six for each engine")(
        "flap", po::value(&options.flap), "share of the engines that flap")(
        "disagree", po::value(&options.disagreeSeconds),
        "seconds of each half minute in which half of the routers miss the keepers")(
        "platform-down", po::bool_switch(&options.platformDown), "the list of VMs stands still");
    return described;
}

bool isSound(const PolicyOptions &options)
{
    const auto &names = policyNames();
    return std::find(names.begin(), names.end(), options.policy) != names.end()
           && options.routers > 0 && options.places > 0 && options.engines >= options.places
           && options.seconds > 0 && options.rate >= 0 && options.flap >= 0 && options.flap <= 1;
}

} // namespace

nlohmann::ordered_json reportPolicy(const PolicyOptions &options)
{
    const PolicyTrace trace = traceOf(options);
    const PolicyResult result = runPolicy(options, trace);
    PolicyOptions plain = options;
    plain.policy = "hash";
    const double routerSeconds = options.routers * options.seconds;
    return {{"policy", options.policy},
            {"seed", options.seed},
            {"routers", options.routers},
            {"engines", options.engines},
            {"requests", result.requests},
            {"reuse", reuseOf(result)},
            {"reuse_hash", reuseOf(runPolicy(plain, trace))},
            {"skew_p50", quantile(result.skews, median)},
            {"skew_p99", quantile(result.skews, percentile99)},
            {"excess_p99", quantile(result.excesses, percentile99)},
            {"bound_violations", result.boundViolations},
            {"mean_load", result.meanLoad},
            {"refused", result.refused},
            {"retries", result.retries},
            {"control_bytes_per_router_second",
             static_cast<double>(result.controlBytes) / routerSeconds},
            {"control_cpu_share", result.decisionSeconds / routerSeconds},
            {"max_place_violations", result.placeViolations}};
}

int runPolicyCommand(const std::vector<std::string> &arguments)
{
    PolicyOptions options;
    const po::options_description described = describeOptions(options);
    try {
        po::variables_map given;
        po::store(po::command_line_parser(arguments).options(described).run(), given);
        po::notify(given);
        if (given.count("help") > 0) {
            std::cout << described << "\n";
            return exitOk;
        }
    } catch (const po::error &error) {
        std::cerr << error.what() << "\n";
        return exitBadInput;
    }
    if (!isSound(options)) {
        std::cerr << "these options can't be played\n";
        return exitBadInput;
    }
    std::cout << reportPolicy(options).dump() << "\n";
    return exitOk;
}

} // namespace plantainswitch::lab
