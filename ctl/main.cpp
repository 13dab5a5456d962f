#include <iostream>

#include <boost/program_options.hpp>

#include "commands.h"

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

Exit codes: 0 done, 1 failed, 2 bad input, 3 version conflict, 4 not found, 5 outcome unknown (the
write may have taken effect).

)";

/// Runs get or delete, the commands that name an entry.
int runOnEntry(BlockingPlatformClient &platform, const std::vector<std::string> &words,
               const options::variables_map &given, OutputFormat output)
{
    constexpr std::size_t wordsWithKey = 3;
    const auto kind = words.size() == wordsWithKey ? entryKindOf(words[1]) : std::nullopt;
    if (!kind) {
        std::cerr << "get and delete need a kind (dataclass, workspace or service) and a name\n";
        return exitBadInput;
    }
    const EntryKey key{*kind, words[2]};
    if (words.front() == "get") {
        const bool shown = given.count("show-token") > 0;
        return getEntry(platform, key, output,
                        shown ? TokenVisibility::Shown : TokenVisibility::Hidden);
    }
    if (given.count("if-version") == 0) {
        std::cerr << "delete needs --if-version N, the version that get or list shows\n";
        return exitBadInput;
    }
    return deleteEntry(platform, key, given["if-version"].as<std::uint64_t>(), output);
}

int runCommand(const options::variables_map &given)
{
    const auto words = given["words"].as<std::vector<std::string>>();
    const std::string &command = words.front();
    const std::string form = given["output"].as<std::string>();
    if (form != "json" && form != "table") {
        std::cerr << "--output must be json or table\n";
        return exitBadInput;
    }
    const OutputFormat output = form == "json" ? OutputFormat::Json : OutputFormat::Table;
    if (command == "explain") {
        if (words.size() < 2) {
            std::cerr << "explain needs the request's id\n";
            return exitBadInput;
        }
        return explainRequest(words[1], {words.begin() + 2, words.end()});
    }
    BlockingPlatformClient platform(given["platform"].as<std::string>());
    if (command == "list") {
        return listEntries(platform, output);
    }
    if (command == "status") {
        return showStatus(platform, output);
    }
    if (command == "apply" || command == "diff") {
        if (given.count("file") == 0) {
            std::cerr << command << " needs an entry file: -f FILE\n";
            return exitBadInput;
        }
        const auto path = given["file"].as<std::string>();
        return command == "apply" ? applyFile(platform, path, output)
                                  : diffFile(platform, path, output);
    }
    if (command == "get" || command == "delete") {
        return runOnEntry(platform, words, given, output);
    }
    std::cerr << usage;
    return exitBadInput;
}

int runTool(int argc, char **argv)
{
    options::options_description described("Options");
    described.add_options()("help", "show this text")(
        "words", options::value<std::vector<std::string>>(), "command and its arguments")(
        "platform", options::value<std::string>()->default_value("http://127.0.0.1:21000"),
        "URL of the platform's object API")("file,f", options::value<std::string>(), "entry file")(
        "if-version", options::value<std::uint64_t>(),
        "stored version that delete requires")("show-token", "get prints a workspace's token")(
        "output", options::value<std::string>()->default_value("table"),
        "output format: json or table");
    options::positional_options_description positions;
    positions.add("words", -1);
    options::variables_map given;
    try {
        options::store(
            options::command_line_parser(argc, argv).options(described).positional(positions).run(),
            given);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n";
        return exitBadInput;
    }
    if (given.count("help") > 0 || given.count("words") == 0) {
        std::cout << usage << described << "\n";
        return given.count("help") > 0 ? exitOk : exitBadInput;
    }
    return runCommand(given);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runTool(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "plantainctl: " << error.what() << "\n";
        return exitFailed;
    }
}
