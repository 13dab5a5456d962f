#pragma once

// Stand-in of the platform: its store of objects, and the start and end of router processes.

#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <sstream>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <nlohmann/json.hpp>

#include "net.hh"

namespace review {

using nlohmann::json;

/// Lines of record.txt: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path)
        : file(path)
        , startedAt(Clock::now())
    {}

    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ",
                      static_cast<double>(millisecondsBetween(this->startedAt, Clock::now()))
                          / 1000);
        this->file << time << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point startedAt;
};

/// How the store treats calls.
enum class StoreState {
    Up,
    /// Accepts connections and calls, and does not respond.
    Silent,
};

/// The platform's store: linearizable objects with versions, lists and watches.
class Store
{
public:
    explicit Store(const std::string &host)
        : server({host, 0}, [this](Connection &connection) { this->serve(connection); })
    {}
    ~Store() { this->stop(); }

    bool start() { return this->server.start(); }
    void stop()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->isStopping = true;
        }
        this->changed.notify_all();
        this->server.stop();
    }
    [[nodiscard]] const Address &address() const { return this->server.address(); }

    void setState(StoreState next)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->state = next;
        }
        this->changed.notify_all();
    }

    /// Writes an object without a condition, as the operator and the replicas do. Waits while the
    /// store is silent.
    void put(const std::string &kind, const std::string &name, const json &spec)
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock,
                           [this] { return this->state == StoreState::Up || this->isStopping; });
        this->write(kind, name, spec);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock,
                           [this] { return this->state == StoreState::Up || this->isStopping; });
        this->erase(kind, name);
    }

private:
    struct Object
    {
        json spec;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        json event;
    };

    static json shown(const std::string &name, const Object &object)
    {
        return {{"metadata",
                 {{"name", name},
                  {"rev", object.revision},
                  {"created", object.created},
                  {"finalizers", json::array()},
                  {"deletionTime", false}}},
                {"spec", object.spec},
                {"status", nullptr}};
    }

    void write(const std::string &kind, const std::string &name, const json &spec)
    {
        Object &object = this->objects[kind][name];
        if (object.revision != 0 && object.spec == spec) {
            return;
        }
        object.spec = spec;
        object.revision = ++this->revision;
        object.created = object.created == 0 ? object.revision : object.created;
        this->history.push_back(
            {this->revision, kind, {{"deleted", false}, {"object", shown(name, object)}}});
        this->changed.notify_all();
    }

    void erase(const std::string &kind, const std::string &name)
    {
        const auto found = this->objects[kind].find(name);
        if (found == this->objects[kind].end()) {
            return;
        }
        const json event{{"deleted", true}, {"object", shown(name, found->second)}};
        this->objects[kind].erase(found);
        this->history.push_back({++this->revision, kind, event});
        this->changed.notify_all();
    }

    static std::string parameter(const std::string &query, const std::string &name)
    {
        std::istringstream parts(query);
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.rfind(name + "=", 0) == 0) {
                return part.substr(name.size() + 1);
            }
        }
        return {};
    }

    void serve(Connection &connection)
    {
        std::string buffer;
        while (!this->server.isStopped()) {
            ReadEnd end = ReadEnd::Data;
            const auto request = readMessage(connection, buffer, 200, &end);
            if (!request) {
                if (end == ReadEnd::TimedOut && buffer.empty()) {
                    continue;
                }
                return;
            }
            std::unique_lock lock(this->mutex);
            const auto [status, body] = this->answer(*request, lock, connection);
            if (status == 0) {
                return;
            }
            lock.unlock();
            if (!connection.send(response(status, "Content-Type: application/json\r\n",
                                          body.is_null() ? std::string() : body.dump()))) {
                return;
            }
        }
    }

    /// \returns a status of 0 if the call is not answered.
    std::pair<int, json> answer(const Message &request, std::unique_lock<std::mutex> &lock,
                                const Connection &connection)
    {
        if (this->state == StoreState::Silent) {
            // A call without a response was not executed here.
            this->changed.wait(lock, [&] {
                return this->isStopping || this->state == StoreState::Up
                       || connection.isClosedByPeer();
            });
            return {0, {}};
        }
        const std::string target = request.target();
        const std::size_t mark = target.find('?');
        const std::string path = target.substr(0, mark);
        const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
        const std::string prefix = "/objects/";
        if (path.rfind(prefix, 0) != 0) {
            return {404, {}};
        }
        const std::string rest = path.substr(prefix.size());
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        const std::string method = request.method();
        if (method == "GET" && name.empty()) {
            const std::string since = parameter(query, "watch");
            return since.empty() ? this->list(kind)
                                 : this->watch(kind, query, std::stoull(since), lock, connection);
        }
        auto &known = this->objects[kind];
        if (method == "GET") {
            const auto found = known.find(name);
            return found == known.end() ? std::pair<int, json>{404, {}}
                                        : std::pair<int, json>{200, shown(name, found->second)};
        }
        if (method == "DELETE") {
            this->erase(kind, name);
            return {200, json::object()};
        }
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            return {400, {}};
        }
        const json metadata = body.value("metadata", json::object());
        const std::string written = name.empty() ? metadata.value("name", std::string()) : name;
        const auto found = known.find(written);
        if (method == "POST" && found != known.end()) {
            return {409, shown(written, found->second)};
        }
        if (method == "PUT" && found == known.end()) {
            return {404, {}};
        }
        if (method == "PUT" && metadata.contains("rev")
            && metadata["rev"] != found->second.revision) {
            return {409, shown(written, found->second)};
        }
        this->write(kind, written, body.value("spec", json()));
        return {method == "POST" ? 201 : 200, shown(written, known[written])};
    }

    std::pair<int, json> list(const std::string &kind)
    {
        json items = json::array();
        for (const auto &[name, object] : this->objects[kind]) {
            items.push_back(shown(name, object));
        }
        return {200, {{"items", items}, {"hasMore", false}, {"asOf", this->revision}}};
    }

    std::pair<int, json> watch(const std::string &kind, const std::string &query,
                               std::uint64_t since, std::unique_lock<std::mutex> &lock,
                               const Connection &connection)
    {
        const std::string wait = parameter(query, "waitMs");
        const auto until = Clock::now() + Milliseconds{wait.empty() ? 0 : std::stoll(wait)};
        for (;;) {
            json events = json::array();
            for (const Change &change : this->history) {
                if (change.revision > since && change.kind == kind) {
                    events.push_back(change.event);
                }
            }
            const bool isOver = !events.empty() || Clock::now() >= until;
            if (isOver && this->state == StoreState::Up) {
                return {200, {{"events", events}, {"asOf", this->revision}}};
            }
            if (this->isStopping || this->state != StoreState::Up || connection.isClosedByPeer()) {
                // A watch that is waiting when the store goes down gets nothing further.
                this->changed.wait(lock, [&] {
                    return this->isStopping || this->state == StoreState::Up
                           || connection.isClosedByPeer();
                });
                return {0, {}};
            }
            this->changed.wait_until(lock, std::min(until, Clock::now() + Milliseconds{100}));
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    StoreState state = StoreState::Up;
    bool isStopping = false;
    std::uint64_t revision = 100;
    std::map<std::string, std::map<std::string, Object>> objects;
    std::deque<Change> history;
    Server server;
};

/// Fills in the template of the deploy file, as the platform's page describes it.
class Template
{
public:
    static std::string fill(const std::string &text, const json &fields)
    {
        return fillIn(text, {&fields});
    }

private:
    using Scopes = std::vector<const json *>;

    static const json *find(const Scopes &scopes, const std::string &path)
    {
        if (path == ".") {
            return scopes.back();
        }
        for (auto scope = scopes.rbegin(); scope != scopes.rend(); ++scope) {
            const json *value = *scope;
            std::istringstream parts(path);
            std::string part;
            while (value != nullptr && std::getline(parts, part, '.')) {
                if (value->is_object() && value->contains(part)) {
                    value = &(*value)[part];
                } else if (value->is_array() && std::isdigit(part[0]) != 0
                           && std::stoul(part) < value->size()) {
                    value = &(*value)[std::stoul(part)];
                } else {
                    value = nullptr;
                }
            }
            if (value != nullptr) {
                return value;
            }
        }
        return nullptr;
    }

    static bool isTrue(const json *value)
    {
        return value != nullptr && !value->is_null() && *value != false;
    }

    static std::string fillIn(const std::string &text, const Scopes &scopes)
    {
        std::string out;
        std::size_t at = 0;
        for (;;) {
            const std::size_t open = text.find("{{", at);
            out += text.substr(at, open - at);
            if (open == std::string::npos) {
                return out;
            }
            const std::size_t close = text.find("}}", open);
            const std::string name = text.substr(open + 2, close - open - 2);
            at = close + 2;
            if (name[0] != '#' && name[0] != '^') {
                out += shown(scopes, name);
                continue;
            }
            const std::string end = "{{/" + name.substr(1) + "}}";
            const std::size_t stop = text.find(end, at);
            const std::string inner = text.substr(at, stop - at);
            at = stop + end.size();
            const json *const value = find(scopes, name.substr(1));
            if (name[0] == '^') {
                out += isTrue(value) ? "" : fillIn(inner, scopes);
            } else if (isTrue(value)) {
                Scopes nested = scopes;
                nested.push_back(value);
                out += fillIn(inner, nested);
            }
        }
    }

    static std::string shown(const Scopes &scopes, const std::string &name)
    {
        const std::size_t bar = name.find('|');
        const json *const value = find(scopes, name.substr(0, bar));
        if (bar != std::string::npos) {
            return value == nullptr ? "null" : value->dump();
        }
        if (value == nullptr || value->is_null()) {
            return {};
        }
        return value->is_string() ? value->get<std::string>() : value->dump();
    }
};

inline std::string contentsOf(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// A router process, started with the command of the deploy file.
class RouterProcess
{
public:
    /// \param root the repository
    /// \param folder where its settings and its log are written
    RouterProcess(std::string root, std::string folder, json fields)
        : root(std::move(root))
        , folder(std::move(folder))
        , fields(std::move(fields))
    {}
    ~RouterProcess() { this->kill(); }

    bool start()
    {
        const std::string name = this->fields["node"].get<std::string>();
        const std::string settings = this->folder + "/" + name + ".json";
        std::ofstream(settings) << Template::fill(
            contentsOf(this->root + "/deploy/settings.json.in"), this->fields);
        // True only when the whole system starts for the first time.
        this->fields["bootstrap"] = false;
        std::vector<std::string> words = command(this->root);
        if (words.empty()) {
            return false;
        }
        const std::string log = this->folder + "/" + name + ".log";
        this->pid = fork();
        if (this->pid == 0) {
            // Also if this program is killed.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (chdir(this->root.c_str()) != 0) {
                _exit(127);
            }
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            setenv("PLANTAINSWITCH_BOOT", settings.c_str(), 1);
            std::vector<char *> arguments;
            for (std::string &word : words) {
                arguments.push_back(word.data());
            }
            arguments.push_back(nullptr);
            execv(arguments[0], arguments.data());
            _exit(127);
        }
        return this->pid > 0;
    }

    void signal(int number) const
    {
        if (this->pid > 0) {
            ::kill(this->pid, number);
        }
    }

    /// \returns whether the process has ended.
    bool hasEnded()
    {
        if (this->pid <= 0) {
            return true;
        }
        int status = 0;
        if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
            this->pid = 0;
            return true;
        }
        return false;
    }

    void kill()
    {
        if (this->pid > 0) {
            ::kill(this->pid, SIGKILL);
            int status = 0;
            waitpid(this->pid, &status, 0);
            this->pid = 0;
        }
    }

    /// \returns the resident memory in kB; 0 if the process has ended.
    [[nodiscard]] std::size_t residentKilobytes() const
    {
        std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.rfind("VmRSS:", 0) == 0) {
                return std::stoul(line.substr(6));
            }
        }
        return 0;
    }

    [[nodiscard]] Address front() const { return parse("front"); }
    [[nodiscard]] Address readiness() const { return parse("readyAddr"); }

    /// Asks for readiness until it is ready or \a timeout passes.
    [[nodiscard]] bool awaitReady(std::int64_t timeout) const
    {
        const auto until = Clock::now() + Milliseconds{timeout};
        while (Clock::now() < until) {
            if (const auto connection = Connection::open(this->readiness())) {
                std::string buffer;
                const bool isSent = connection->send("GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n");
                const auto reply = readMessage(*connection, buffer, 1000);
                if (isSent && reply && reply->status() == 200) {
                    return true;
                }
            }
            pauseFor(50);
        }
        return false;
    }

private:
    static std::vector<std::string> command(const std::string &root)
    {
        std::istringstream lines(contentsOf(root + "/deploy/system.toml"));
        std::string line;
        while (std::getline(lines, line)) {
            if (line.rfind("run = \"", 0) == 0) {
                std::istringstream words(line.substr(7, line.rfind('"') - 7));
                return {std::istream_iterator<std::string>(words), {}};
            }
        }
        return {};
    }

    [[nodiscard]] Address parse(const std::string &name) const
    {
        const std::string text = this->fields["listen"][name].get<std::string>();
        const std::size_t colon = text.find(':');
        return {text.substr(0, colon),
                static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
    }

    std::string root;
    std::string folder;
    json fields;
    pid_t pid = 0;
};

/// Loopback addresses of one run: a network of its own below 127.0.0.0/8.
class Addresses
{
public:
    Addresses()
    {
        std::random_device random;
        this->network = "127." + std::to_string(16 + random() % 200) + "."
                        + std::to_string(random() % 250) + ".";
    }

    [[nodiscard]] std::string host(int number) const
    {
        return this->network + std::to_string(number);
    }

    /// \returns a port that is free at all \a hosts, for TCP and UDP.
    static std::uint16_t freePort(const std::vector<std::string> &hosts)
    {
        std::random_device random;
        for (int attempt = 0; attempt < 200; ++attempt) {
            const auto port = static_cast<std::uint16_t>(20000 + random() % 10000);
            const bool isFree = std::all_of(hosts.begin(), hosts.end(), [port](const auto &host) {
                return isFreeAt(host, port, SOCK_STREAM) && isFreeAt(host, port, SOCK_DGRAM);
            });
            if (isFree) {
                return port;
            }
        }
        return 0;
    }

private:
    static bool isFreeAt(const std::string &host, std::uint16_t port, int type)
    {
        const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const sockaddr_in local = socketAddress({host, port});
        const bool isFree = bind(fd, reinterpret_cast<const sockaddr *>(&local), sizeof local) == 0;
        close(fd);
        return isFree;
    }

    std::string network;
};

/// What the sheet of a deployment says of its machines.
struct Deployment
{
    std::string region;
    std::vector<std::string> zones;
    int memoryMb = 0;
    json bounds;
};

inline Deployment krcaGrind()
{
    return {"kyushu",
            {"kitakyushu", "fukuoka", "kumamoto", "oita"},
            260,
            {{"contactMs", 3000},
             {"drainMs", 2000},
             {"graceS", 8},
             {"lossSlackMs", 200},
             {"configMs", 2000},
             {"budgetRatio", 0.2},
             {"budgetWindowS", 10},
             {"budgetMargin", 56}}};
}

inline Deployment anaforaAthens()
{
    return {"attica",
            {"attica-a", "attica-b", "attica-c", "attica-d"},
            380,
            {{"contactMs", 4000},
             {"drainMs", 3000},
             {"graceS", 8},
             {"lossSlackMs", 200},
             {"configMs", 3000},
             {"budgetRatio", 0.2},
             {"budgetWindowS", 10},
             {"budgetMargin", 200}}};
}

/// The fields of the settings of the routers of a small deployment, one in each zone in turn.
inline std::vector<json> routerFields(const Addresses &addresses, int routers, const Address &store,
                                      const Deployment &deployment)
{
    const std::vector<std::string> &zones = deployment.zones;
    std::vector<std::string> hosts;
    for (int i = 0; i < routers; ++i) {
        hosts.push_back(addresses.host(10 + i));
    }
    std::set<std::uint16_t> ports;
    while (ports.size() < 5) {
        ports.insert(Addresses::freePort(hosts));
    }
    const std::vector<std::uint16_t> port(ports.begin(), ports.end());
    json seeds = json::array();
    for (std::size_t i = 0; i < hosts.size() && i < 3; ++i) {
        seeds.push_back(Address{hosts[i], port[2]}.text());
    }
    json areas = json::object();
    for (const std::string &zone : zones) {
        areas[zone] = deployment.region;
    }
    std::vector<json> all;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const std::string &zone = zones[i % zones.size()];
        all.push_back({{"node", "edge-" + zone + "-" + std::to_string(1 + i / zones.size())},
                       {"role", "router"},
                       {"machineClass", "edge"},
                       {"serves", {"edge", "control"}},
                       {"ip", hosts[i]},
                       {"zone", zone},
                       {"region", deployment.region},
                       {"zones", areas},
                       {"listen",
                        {{"front", Address{hosts[i], port[0]}.text()},
                         {"readyAddr", Address{hosts[i], port[1]}.text()},
                         {"control", Address{hosts[i], port[2]}.text()}}},
                       {"internalPorts", {port[3], port[4]}},
                       {"seeds", seeds},
                       {"bootstrap", true},
                       {"limits", {{"memoryMb", deployment.memoryMb}, {"maxFds", 4100}}},
                       {"heartbeatMs", 1200},
                       {"bounds", deployment.bounds},
                       {"platform", {{"address", store.text()}}}});
    }
    return all;
}

/// \returns \a fields with other seeds.
inline json withSeeds(json fields, const std::vector<std::string> &hosts)
{
    const std::string control = fields["listen"]["control"].get<std::string>();
    fields["seeds"] = json::array();
    for (const std::string &host : hosts) {
        fields["seeds"].push_back(host + control.substr(control.find(':')));
    }
    return fields;
}

/// A route of the manifest.
inline json routeEntry(const std::string &name, const std::string &prefix, const std::string &kind,
                       const std::string &service, int timeoutMs, int goalMs, int maxAttempts,
                       bool resumable)
{
    json route{{"name", name},
               {"host", "shop.example"},
               {"pathPrefix", prefix},
               {"kind", kind},
               {"timeoutMs", timeoutMs},
               {"goalMs", goalMs},
               {"priority", 0},
               {"service", service},
               {"maxAttempts", maxAttempts},
               {"anonymous", false},
               {"sticky", kind == "streaming"},
               {"resumable", resumable}};
    if (kind == "streaming") {
        route["gapGoalMs"] = 200;
    }
    return route;
}

/// A service of the manifest.
inline json serviceEntry(const std::string &name, int connLimit)
{
    return {{"name", name},
            {"healthPath", "/health"},
            {"connLimit", connLimit},
            {"protocol", "h1"},
            {"tls", false}};
}

inline json manifest(const json &routes, const json &services)
{
    return {{"version", 7},
            {"routes", routes},
            {"services", services},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants", json::array({json{{"name", "workshop"},
                                          {"apiKeys", json::array({"key-of-workshop"})},
                                          {"priority", 1}}})}};
}

} // namespace review
