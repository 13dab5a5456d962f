#include <iostream>

#include <boost/program_options.hpp>

#include "commands.h"
#include "where.h"

namespace {

using namespace plantainswitch;
using namespace plantainswitch::ctl;
namespace options = boost::program_options;

constexpr const char *usage = R"(plantainctl COMMAND [KIND NAME] [options]

Commands:
  status               catalogue version applied by the routers of each data centre
  list                 all entries with their versions
  get KIND NAME        one entry; --show-token prints a workspace's token too
  apply -f FILE        write an entry: {"kind", "name", "version", "body"}; version 0 creates it
  diff -f FILE         show what apply would change
  delete KIND NAME --if-version N
  explain REQUEST [LOG...]
                       how routers handled a request and what they knew at that time, from
                       their log files, or from standard input without LOG
  where --router HOST:PORT --route NAME [--workspace NAME] [--key KEY] [--prompt FILE] [--json]
                       where that router of the users' platform would send a request now, and
                       why; KEY is the attempt's id, FILE has the prompt's parts as callers send
                       them

Exit codes: 0 done, 1 failed, 2 bad input, 3 version conflict, 4 not found, 5 outcome unknown (the
write may have taken effect).

)";

/// Runs get or delete, the commands that name an entry.
int runOnEntry(BlockingPlatformClient &platform, const std::vector<std::string> &arguments,
               const options::variables_map &variables, OutputFormat output)
{
    constexpr std::size_t argumentsWithKey = 3;
    const auto kind =
        arguments.size() == argumentsWithKey ? entryKindOf(arguments[1]) : std::nullopt;
    if (!kind) {
        std::cerr << "get and delete need a kind (dataclass, workspace or service) and a name\n";
        return exitBadInput;
    }
    const EntryKey key{*kind, arguments[2]};
    if (arguments.front() == "get") {
        const bool showsToken = variables.count("show-token") > 0;
        return getEntry(platform, key, output,
                        showsToken ? TokenVisibility::Shown : TokenVisibility::Hidden);
    }
    if (variables.count("if-version") == 0) {
        std::cerr << "delete needs --if-version N, the version that get or list shows\n";
        return exitBadInput;
    }
    return deleteEntry(platform, key, variables["if-version"].as<std::uint64_t>(), output);
}

std::string textOf(const options::variables_map &variables, const char *name)
{
    return variables.count(name) > 0 ? variables[name].as<std::string>() : std::string();
}

int runWhere(const options::variables_map &variables, OutputFormat output)
{
    const WhereOptions options{textOf(variables, "router"), textOf(variables, "route"),
                               textOf(variables, "workspace"), textOf(variables, "key"),
                               textOf(variables, "prompt")};
    return showWhere(options, variables.count("json") > 0 ? OutputFormat::Json : output);
}

int runCommand(const options::variables_map &variables)
{
    const auto arguments = variables["words"].as<std::vector<std::string>>();
    const std::string &command = arguments.front();
    const std::string outputName = variables["output"].as<std::string>();
    if (outputName != "json" && outputName != "table") {
        std::cerr << "--output must be json or table\n";
        return exitBadInput;
    }
    const OutputFormat output = outputName == "json" ? OutputFormat::Json : OutputFormat::Table;
    if (command == "explain") {
        if (arguments.size() < 2) {
            std::cerr << "explain needs the request's id\n";
            return exitBadInput;
        }
        return explainRequest(arguments[1], {arguments.begin() + 2, arguments.end()});
    }
    if (command == "where") {
        if (arguments.size() > 1) {
            std::cerr << "where takes options only\n";
            return exitBadInput;
        }
        return runWhere(variables, output);
    }
    BlockingPlatformClient platform(variables["platform"].as<std::string>());
    if (command == "list") {
        return listEntries(platform, output);
    }
    if (command == "status") {
        return showStatus(platform, output);
    }
    if (command == "apply" || command == "diff") {
        if (variables.count("file") == 0) {
            std::cerr << command << " needs an entry file: -f FILE\n";
            return exitBadInput;
        }
        const auto path = variables["file"].as<std::string>();
        return command == "apply" ? applyFile(platform, path, output)
                                  : diffFile(platform, path, output);
    }
    if (command == "get" || command == "delete") {
        return runOnEntry(platform, arguments, variables, output);
    }
    std::cerr << usage;
    return exitBadInput;
}

options::options_description describeOptions()
{
    options::options_description description("Options");
    description.add_options()("help", "show this text")(
        "words", options::value<std::vector<std::string>>(), "command and its arguments")(
        "platform", options::value<std::string>()->default_value("http://127.0.0.1:21000"),
        "URL of the platform's object API")("file,f", options::value<std::string>(), "entry file")(
        "if-version", options::value<std::uint64_t>(),
        "stored version that delete requires")("show-token", "get prints a workspace's token")(
        "output", options::value<std::string>()->default_value("table"),
        "output format: json or table")("json", "where prints the JSON object")(
        "router", options::value<std::string>(), "where: control or readiness address of a router")(
        "route", options::value<std::string>(), "where: name of the route")(
        "workspace", options::value<std::string>(), "where: name of the workspace")(
        "key", options::value<std::string>(), "where: id of the attempt")(
        "prompt", options::value<std::string>(), "where: file with the parts of the prompt");
    return description;
}

int run(int argc, char **argv)
{
    const options::options_description description = describeOptions();
    options::positional_options_description positions;
    positions.add("words", -1);
    options::variables_map variables;
    try {
        options::store(options::command_line_parser(argc, argv)
                           .options(description)
                           .positional(positions)
                           .run(),
                       variables);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n";
        return exitBadInput;
    }
    if (variables.count("help") > 0 || variables.count("words") == 0) {
        std::cout << usage << description << "\n";
        return variables.count("help") > 0 ? exitOk : exitBadInput;
    }
    return runCommand(variables);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "plantainctl: " << error.what() << "\n";
        return exitFailed;
    }
}
