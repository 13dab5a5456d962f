#include <fstream>
#include <future>
#include <iostream>
#include <sstream>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include "plantainswitch/plantainswitch.h"
#include "platform.h"

namespace {

using namespace plantainswitch;
using net::PlatformAnswer;
using net::PlatformStatus;
namespace options = boost::program_options;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadInput = 2;
constexpr int exitConflict = 3;
constexpr int exitNotFound = 4;
constexpr int exitUnknown = 5;

constexpr const char *usage = R"(plantainctl COMMAND [KIND NAME] [options]

Commands:
  list                 all entries with their versions
  get KIND NAME        one entry
  apply -f FILE        write an entry: {"kind", "name", "version", "body"}; version 0 makes it new
  diff -f FILE         show what apply would change
  delete KIND NAME --if-version N

Exit codes: 0 done, 1 failed, 2 bad input, 3 lost a race, 4 not found, 5 may have been written.

)";

/// Calls the platform and waits for the answer.
class Platform
{
public:
    explicit Platform(const std::string &url)
        : guard(asio::make_work_guard(context))
        , http(context)
        , client(http, url)
        , worker([this] { this->context.run(); })
    {}

    ~Platform()
    {
        this->context.stop();
        this->worker.join();
    }
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;

    PlatformAnswer get(const EntryKey &key)
    {
        std::promise<PlatformAnswer> answer;
        this->client.get(std::string(nameOf(key.kind)), key.name,
                         [&answer](PlatformAnswer got) { answer.set_value(std::move(got)); });
        return answer.get_future().get();
    }

    PlatformAnswer put(const EntryKey &key, std::uint64_t ifVersion, const nlohmann::json &body)
    {
        std::promise<PlatformAnswer> answer;
        this->client.put(std::string(nameOf(key.kind)), key.name, ifVersion, body,
                         [&answer](PlatformAnswer got) { answer.set_value(std::move(got)); });
        return answer.get_future().get();
    }

    PlatformAnswer remove(const EntryKey &key, std::uint64_t ifVersion)
    {
        std::promise<PlatformAnswer> answer;
        this->client.remove(std::string(nameOf(key.kind)), key.name, ifVersion,
                            [&answer](PlatformAnswer got) { answer.set_value(std::move(got)); });
        return answer.get_future().get();
    }

    std::optional<net::PlatformChanges> list()
    {
        std::promise<std::optional<net::PlatformChanges>> answer;
        this->client.changes("dataclass,workspace,service", 0, std::chrono::milliseconds(0),
                             [&answer](auto got) { answer.set_value(std::move(got)); });
        return answer.get_future().get();
    }

private:
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    net::HttpClient http;
    net::PlatformClient client;
    std::thread worker;
};

/// An entry file once it is checked.
struct EntryFile
{
    EntryKey key;
    std::uint64_t version = 0;
    nlohmann::json body;
};

std::optional<EntryFile> parseEntryFile(const std::string &text, std::vector<Fault> &faults)
{
    const auto json = parseJson(text, faults);
    if (!json) {
        return std::nullopt;
    }
    if (!json->is_object()) {
        faults.push_back({"/", "not an object", "an object with kind, name, version and body"});
        return std::nullopt;
    }
    EntryFile file;
    const auto kind = json->contains("kind") && (*json)["kind"].is_string()
                          ? entryKindOf((*json)["kind"].get<std::string>())
                          : std::nullopt;
    if (!kind) {
        faults.push_back({"/kind", "no known kind", "dataclass, workspace or service"});
        return std::nullopt;
    }
    file.key.kind = *kind;
    if (json->contains("name") && (*json)["name"].is_string()) {
        file.key.name = (*json)["name"].get<std::string>();
    }
    const bool plainName =
        !file.key.name.empty()
        && file.key.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-.")
               == std::string::npos;
    if (!plainName) {
        faults.push_back({"/name", "no usable name", "small letters, digits, '-' and '.'"});
    }
    const auto version = json->find("version");
    if (version == json->end() || !version->is_number_unsigned()) {
        faults.push_back({"/version", "no version", "the version that was read, or 0 for new"});
    } else {
        file.version = version->get<std::uint64_t>();
    }
    file.body = json->value("body", nlohmann::json());
    const auto body = parseEntry(*kind, file.body, faults);
    if (!body || !faults.empty()) {
        return std::nullopt;
    }
    file.body = toJson(*body);
    return file;
}

std::optional<EntryFile> loadEntryFile(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        std::cerr << path << ": can't be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    std::vector<Fault> faults;
    auto file = parseEntryFile(text.str(), faults);
    for (const Fault &fault : faults) {
        std::cerr << path << ": " << toText(fault) << "\n";
    }
    return file;
}

void printDifference(const nlohmann::json &from, const nlohmann::json &to)
{
    for (const nlohmann::json &change : nlohmann::json::diff(from, to)) {
        const std::string path = change["path"].get<std::string>();
        const bool secret = path.find("token") != std::string::npos;
        std::cout << "  " << change["op"].get<std::string>() << " " << path << " "
                  << (secret ? "(hidden)" : change.value("value", nlohmann::json()).dump()) << "\n";
    }
}

nlohmann::json withoutToken(nlohmann::json body)
{
    if (body.is_object() && body.contains("token")) {
        body["token"] = "(hidden)";
    }
    return body;
}

int reportWrite(const PlatformAnswer &answer, const nlohmann::json &wanted)
{
    switch (answer.status) {
    case PlatformStatus::Ok:
        std::cout << "written, version " << answer.object->version << "\n";
        return exitOk;
    case PlatformStatus::Conflict:
        if (answer.object) {
            std::cout << "not written: version " << answer.object->version
                      << " is there already; to get from it to your text:\n";
            printDifference(answer.object->body, wanted);
        } else {
            std::cout << "not written: there is no such entry any more\n";
        }
        return exitConflict;
    case PlatformStatus::NotFound:
        std::cout << "there is no such entry\n";
        return exitNotFound;
    case PlatformStatus::Rejected:
        std::cerr << "not written: " << answer.detail << "\n";
        return exitFailed;
    case PlatformStatus::Unknown:
        break;
    }
    std::cerr << "no answer: the write may have taken effect; look with get\n";
    return exitUnknown;
}

int listEntries(Platform &platform, bool asJson)
{
    const auto changes = platform.list();
    if (!changes) {
        std::cerr << "the platform can't be reached\n";
        return exitFailed;
    }
    nlohmann::ordered_json all = nlohmann::ordered_json::array();
    for (const net::PlatformObject &object : changes->objects) {
        if (object.body.is_null()) {
            continue;
        }
        if (asJson) {
            all.push_back({{"kind", object.kind},
                           {"name", object.name},
                           {"version", object.version},
                           {"body", withoutToken(object.body)}});
        } else {
            std::cout << fmt::format("{:<10} {:<32} {:>10}  {}\n", object.kind, object.name,
                                     object.version, object.body.value("owner", ""));
        }
    }
    if (asJson) {
        std::cout << all.dump(2) << "\n";
    }
    return exitOk;
}

int getEntry(Platform &platform, const EntryKey &key)
{
    const PlatformAnswer answer = platform.get(key);
    if (answer.status == PlatformStatus::Ok) {
        std::cout << toJson(*answer.object).dump(2) << "\n";
        return exitOk;
    }
    if (answer.status == PlatformStatus::NotFound) {
        std::cerr << "there is no such entry\n";
        return exitNotFound;
    }
    std::cerr << "the platform can't be reached\n";
    return exitFailed;
}

int applyOrDiff(Platform &platform, const std::string &path, bool write)
{
    const auto file = loadEntryFile(path);
    if (!file) {
        return exitBadInput;
    }
    if (write) {
        return reportWrite(platform.put(file->key, file->version, file->body), file->body);
    }
    const PlatformAnswer answer = platform.get(file->key);
    printDifference(answer.object ? answer.object->body : nlohmann::json(), file->body);
    return answer.status == PlatformStatus::Unknown ? exitFailed : exitOk;
}

int runCommand(const options::variables_map &given)
{
    const auto words = given["words"].as<std::vector<std::string>>();
    const std::string &command = words.front();
    Platform platform(given["platform"].as<std::string>());
    if (command == "list") {
        return listEntries(platform, given["output"].as<std::string>() == "json");
    }
    if (command == "apply" || command == "diff") {
        if (given.count("file") == 0) {
            std::cerr << command << " needs -f FILE\n";
            return exitBadInput;
        }
        return applyOrDiff(platform, given["file"].as<std::string>(), command == "apply");
    }
    constexpr std::size_t wordsWithKey = 3;
    const auto kind = words.size() == wordsWithKey ? entryKindOf(words[1]) : std::nullopt;
    if (!kind) {
        std::cerr << "a kind (dataclass, workspace, service) and a name are needed\n";
        return exitBadInput;
    }
    const EntryKey key{*kind, words[2]};
    if (command == "get") {
        return getEntry(platform, key);
    }
    if (command == "delete" && given.count("if-version") > 0) {
        return reportWrite(platform.remove(key, given["if-version"].as<std::uint64_t>()), {});
    }
    std::cerr << usage;
    return exitBadInput;
}

int runTool(int argc, char **argv)
{
    options::options_description described("Options");
    described.add_options()("help", "show this text")(
        "words", options::value<std::vector<std::string>>(), "command and its words")(
        "platform", options::value<std::string>()->default_value("http://127.0.0.1:21000"),
        "address of the platform's object API")("file,f", options::value<std::string>(),
                                                "entry file")(
        "if-version", options::value<std::uint64_t>(), "version that delete expects")(
        "output", options::value<std::string>()->default_value("table"), "json or table");
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
