#include "where.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <asio/io_context.hpp>
#include <fmt/format.h>

#include "httpclient.h"
#include "plantainswitch/base/number.h"

namespace plantainswitch::ctl {

namespace {

using nlohmann::ordered_json;

constexpr std::chrono::milliseconds routerTimeout{2000};
constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;

bool isHostAndPort(const std::string &text)
{
    constexpr std::uint64_t maxPort = 65535;
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0
        || text.find_first_of("/?#@ ") != std::string::npos) {
        return false;
    }
    const auto port = parseUnsigned(text.substr(colon + 1));
    return port && *port > 0 && *port <= maxPort;
}

/// \returns the body of the query, or nothing if the prompt file can't be read.
std::optional<std::string> makeQuery(const WhereOptions &options)
{
    ordered_json query{{"route", options.route}};
    if (!options.workspace.empty()) {
        query["workspace"] = options.workspace;
    }
    if (!options.key.empty()) {
        query["key"] = options.key;
    }
    if (!options.promptFile.empty()) {
        std::ifstream stream(options.promptFile);
        std::ostringstream text;
        if (!stream || !(text << stream.rdbuf())) {
            std::cerr << options.promptFile << ": can't be read\n";
            return std::nullopt;
        }
        std::string prompt = text.str();
        prompt.erase(prompt.find_last_not_of(" \t\r\n") + 1);
        query["prompt"] = prompt;
    }
    return query.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

net::HttpResponse callRouter(const std::string &router, std::string body)
{
    asio::io_context context;
    net::HttpClient client(context);
    net::HttpCall call;
    call.method = "POST";
    call.url = "http://" + router + "/where";
    call.headers = {{"content-type", "application/json"}};
    call.body = std::move(body);
    call.connectTimeout = routerTimeout;
    call.totalTimeout = routerTimeout;
    net::HttpResponse response;
    client.fetch(std::move(call), [&response, &context](net::HttpResponse received) {
        response = std::move(received);
        context.stop();
    });
    context.run();
    return response;
}

/// Prints why the router has not answered the query. \returns the exit code.
int reportError(const std::string &router, const net::HttpResponse &response,
                const ordered_json &reply)
{
    if (!reply.is_object() || !reply.contains("error")) {
        const char *const fault = response.status == notFound
                                      ? "the router does not support this command"
                                      : "the router's response is not understood";
        std::cerr << fmt::format("{}: {} (status {})\n", router, fault, response.status);
        return exitFailed;
    }
    std::cerr << fmt::format("{}: {}: {}\n", router, reply.value("error", ""),
                             reply.value("detail", ""));
    return response.status == badRequest ? exitBadInput
           : response.status == notFound ? exitNotFound
                                         : exitFailed;
}

/// \returns a number of a candidate, or a hyphen if it is not stated.
std::string numberOf(const ordered_json &candidate, const char *name)
{
    return candidate.contains(name) ? fmt::format("{:.1f}", candidate[name].get<double>()) : "-";
}

} // namespace

std::string formatWhereTable(const ordered_json &reply)
{
    std::string table = fmt::format(
        "router {}, route {}, service {}\n{}{}: {}\n", reply.value("router", ""),
        reply.value("route", ""), reply.value("service", ""), reply.value("outcome", ""),
        reply.contains("upstream") ? " " + reply["upstream"].get<std::string>() : "",
        reply.value("reason", ""));
    if (reply.contains("retryAfterMs")) {
        table += fmt::format("retry after {} ms\n", reply["retryAfterMs"].get<std::int64_t>());
    }
    table += fmt::format("{:<24} {:<16} {:<11} {:>7} {:>8} {:>11} {:>9}  {}\n", "upstream",
                         "data centre", "state", "running", "bound", "expected ms", "cached",
                         "excluded");
    for (const ordered_json &candidate : reply.value("candidates", ordered_json::array())) {
        table +=
            fmt::format("{:<24} {:<16} {:<11} {:>7} {:>8} {:>11} {:>9}  {}\n",
                        candidate.value("id", ""), candidate.value("dataCentre", ""),
                        candidate.value("state", ""), candidate.value("running", 0U),
                        numberOf(candidate, "loadBound"), numberOf(candidate, "expectedDelayMs"),
                        numberOf(candidate, "cachedTokens"), candidate.value("excluded", "-"));
    }
    for (const ordered_json &step : reply.value("notApplied", ordered_json::array())) {
        table += fmt::format("not applied: {}\n", step.get<std::string>());
    }
    return table;
}

int showWhere(const WhereOptions &options, OutputFormat output)
{
    if (!isHostAndPort(options.router) || options.route.empty()) {
        std::cerr << "where needs --router HOST:PORT and --route NAME\n";
        return exitBadInput;
    }
    auto query = makeQuery(options);
    if (!query) {
        return exitBadInput;
    }
    const net::HttpResponse response = callRouter(options.router, std::move(*query));
    if (response.outcome != net::HttpOutcome::Complete) {
        std::cerr << fmt::format("{}: the router can't be reached or does not respond within {} s "
                                 "({})\n",
                                 options.router, routerTimeout / std::chrono::seconds{1},
                                 response.detail);
        return exitFailed;
    }
    const ordered_json reply = ordered_json::parse(response.body, nullptr, false);
    if (response.status != ok || !reply.is_object()) {
        return reportError(options.router, response, reply);
    }
    std::cout << (output == OutputFormat::Json ? reply.dump(2) + "\n" : formatWhereTable(reply));
    return exitOk;
}

} // namespace plantainswitch::ctl
