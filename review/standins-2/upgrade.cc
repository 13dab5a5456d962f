// Replicas crash and start again under their ids, with the next version of their software, while
// the store is down. See review/7/claim.txt.

#include <iostream>

#include "replica.hh"

using namespace review;

namespace {

constexpr int pieces = 93;
constexpr int pieceIntervalMs = 30;
constexpr int budgetMs = 15000;
constexpr int clients = 160;
constexpr int replicaCount = 9;
/// Pause between a client's streams.
constexpr int clientPauseMs = 400;
/// The store is down for this time, and then the load goes on for a while.
constexpr int outageMs = 8000;
constexpr int outageAtMs = 4000;
constexpr int loadMs = 16000;
/// Two replicas crash at a time.
constexpr int crashedAtOnce = 2;
constexpr int firstCrashMs = 500;
constexpr int crashGapMs = 3000;
constexpr int crashes = 2;
constexpr int downMs = 1500;
/// Streams with events of two versions that the rule allows.
constexpr std::size_t allowedMixed = 2;

std::string attemptName(int client, int stream, int attempt)
{
    return "a" + std::to_string(client) + "-" + std::to_string(stream) + "-"
           + std::to_string(attempt);
}

/// What a client has received of one stream, over its tries.
struct Stream
{
    std::uint64_t last = 0;
    std::set<std::string> versions;
    std::string trace;
    bool isWhole = false;
    bool hasGap = false;
};

class Case
{
public:
    Case(std::string root, std::string folder, const std::string &record, bool isTroubled)
        : root(std::move(root))
        , folder(std::move(folder))
        , record(record)
        , isTroubled(isTroubled)
        , store(this->addresses.host(2))
    {}

    int run()
    {
        if (!this->start()) {
            return 2;
        }
        std::vector<std::thread> threads;
        this->loadUntil = Clock::now() + Milliseconds{loadMs};
        for (int i = 0; i < clients; ++i) {
            threads.emplace_back([this, i] { this->runClient(i); });
        }
        if (this->isTroubled) {
            this->disturb();
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        return this->judge();
    }

private:
    bool start()
    {
        if (!this->store.start()) {
            return false;
        }
        for (int i = 0; i < replicaCount; ++i) {
            this->replicas.push_back(
                this->makeReplica(i, "v1", {this->addresses.host(100 + i), 0}));
            if (!this->replicas.back()->start()) {
                return false;
            }
            this->replicas.back()->enter();
        }
        json service = serviceEntry("sharpen-llm", 300);
        service["engine"] = {{"slots", 48}, {"kvCapacity", 590695}, {"models", {{{"name", "m"}}}}};
        this->store.put("config", "main",
                        manifest(json::array({routeEntry("guide", "/guide/", "streaming",
                                                         "sharpen-llm", budgetMs, 200, 2, true)}),
                                 json::array({service})));
        for (const json &fields :
             routerFields(this->addresses, 4, this->store.address(), krcaGrind())) {
            this->routers.push_back(
                std::make_unique<RouterProcess>(this->root, this->folder, fields));
            if (!this->routers.back()->start()) {
                return false;
            }
        }
        for (const auto &router : this->routers) {
            if (!router->awaitReady(10000)) {
                return false;
            }
        }
        pauseFor(4000);
        return true;
    }

    std::unique_ptr<Replica> makeReplica(int number, const std::string &version,
                                         const Address &address)
    {
        const std::vector<std::string> zones = krcaGrind().zones;
        Replica::Identity identity{"i-llm" + std::to_string(number), "sharpen-llm",
                                   zones[number % zones.size()], version, 48};
        return std::make_unique<Replica>(
            this->store, identity, address,
            [this](Replica &replica, Connection &connection, const Message &request) {
                return this->answer(replica, connection, request);
            });
    }

    bool answer(Replica &replica, Connection &connection, const Message &request)
    {
        const std::string resumed = request.field("Last-Event-Id");
        std::uint64_t next = resumed.empty() ? 1 : std::stoull(resumed) + 1;
        this->record.line("replica " + replica.identity().id + " " + replica.identity().version
                          + " runs " + request.field("X-Attempt-Id") + " from "
                          + std::to_string(next));
        if (!connection.send("HTTP/1.1 200 OK\r\n" + replica.fieldsFor(request)
                             + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
                               "\r\n\r\n")) {
            return false;
        }
        for (; next <= pieces; ++next) {
            pauseFor(pieceIntervalMs);
            if (replica.isStopped() || connection.isClosedByPeer()) {
                return false;
            }
            const std::string event = "id: " + std::to_string(next)
                                      + "\ndata: " + replica.identity().version + " piece "
                                      + std::to_string(next) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!connection.send(size + event + "\r\n")) {
                return false;
            }
        }
        return connection.send("0\r\n\r\n");
    }

    /// The store goes down. Meanwhile replicas crash, two at a time, and start again with the next
    /// version of their software.
    void disturb()
    {
        pauseFor(outageAtMs);
        this->record.line("the store is down");
        this->store.setState(StoreState::Silent);
        const auto backAt = Clock::now() + Milliseconds{outageMs};
        pauseFor(firstCrashMs);
        std::vector<std::thread> entering;
        for (int crash = 0; crash < crashes; ++crash) {
            const int first = crash * crashedAtOnce;
            for (int i = first; i < first + crashedAtOnce; ++i) {
                this->record.line("replica " + this->replicas[i]->identity().id + " crashes");
                this->replicas[i]->stop();
            }
            pauseFor(downMs);
            for (int i = first; i < first + crashedAtOnce; ++i) {
                this->replicas[i] = this->makeReplica(i, "v2", this->replicas[i]->address());
                this->hasFailed = !this->replicas[i]->start() || this->hasFailed;
                this->record.line("replica " + this->replicas[i]->identity().id + " is back as v2");
                // As every start, it writes its entry at once; the store does not answer.
                entering.emplace_back([replica = this->replicas[i].get()] { replica->enter(); });
            }
            pauseFor(crashGapMs - downMs);
        }
        pauseFor(millisecondsBetween(Clock::now(), backAt));
        this->store.setState(StoreState::Up);
        this->record.line("the store is back");
        for (std::thread &thread : entering) {
            thread.join();
        }
    }

    void runClient(int client)
    {
        pauseFor(client * 20);
        for (int number = 0; Clock::now() < this->loadUntil; ++number) {
            Stream stream;
            const auto until = Clock::now() + Milliseconds{budgetMs};
            constexpr int tries = 2;
            for (int attempt = 0; attempt < tries && !stream.isWhole; ++attempt) {
                this->tryOnce(client, number, attempt, until, stream);
            }
            this->keep(client, number, stream);
            pauseFor(clientPauseMs);
        }
    }

    void keep(int client, int number, const Stream &stream)
    {
        const std::lock_guard lock(this->mutex);
        this->record.line("client stream " + attemptName(client, number, 0) + ": "
                          + (stream.isWhole ? "whole" : "not whole") + stream.trace
                          + (stream.versions.size() > 1 ? " MIXED" : "")
                          + (stream.hasGap ? " GAP" : ""));
        this->streams.push_back(stream);
    }

    void tryOnce(int client, int number, int attempt, Clock::time_point until, Stream &stream)
    {
        const std::size_t router = (client + attempt) % this->routers.size();
        const auto connection = Connection::open(this->routers[router]->front());
        if (!connection) {
            return;
        }
        std::string more = "X-Model: m\r\nX-Token-Count: 710,225\r\nX-Prompt-Prefix: a1:103,b"
                           + std::to_string(client) + ":500,c" + std::to_string(client) + "f"
                           + std::to_string(number) + ":107\r\n";
        if (stream.last > 0) {
            more += "Last-Event-Id: " + std::to_string(stream.last)
                    + "\r\nResumes: " + attemptName(client, number, 0) + "\r\n";
        }
        const auto left = millisecondsBetween(Clock::now(), until);
        if (!connection->send(requestHead("POST", "/guide/x", attemptName(client, number, attempt),
                                          static_cast<int>(left), more, 0))) {
            return;
        }
        std::string buffer;
        std::optional<Message> head;
        while (!(head = takeHead(buffer))) {
            if (connection->read(buffer, millisecondsBetween(Clock::now(), until))
                != ReadEnd::Data) {
                stream.trace += " (no answer)";
                return;
            }
        }
        if (head->status() != 200) {
            stream.trace += " (" + std::to_string(head->status()) + ")";
            pauseFor(100);
            return;
        }
        ChunkDecoder decoder;
        std::string body;
        bool isComplete = decoder.decode(buffer, body);
        this->takeEvents(body, stream);
        while (!isComplete) {
            if (connection->read(buffer, millisecondsBetween(Clock::now(), until))
                != ReadEnd::Data) {
                stream.trace += " (cut)";
                return;
            }
            isComplete = decoder.decode(buffer, body);
            this->takeEvents(body, stream);
        }
        stream.isWhole = stream.last == pieces;
    }

    static void takeEvents(std::string &body, Stream &stream)
    {
        for (std::size_t end = body.find("\n\n"); end != std::string::npos;
             end = body.find("\n\n")) {
            const std::string event = body.substr(0, end);
            body.erase(0, end + 2);
            const std::uint64_t id = std::stoull(event.substr(event.find("id: ") + 4));
            const std::size_t data = event.find("data: ") + 6;
            const std::string version = event.substr(data, event.find(' ', data) - data);
            stream.hasGap = stream.hasGap || id != stream.last + 1;
            stream.last = id;
            if (stream.versions.insert(version).second) {
                stream.trace += " " + version + " from " + std::to_string(id);
            }
        }
    }

    int judge()
    {
        std::size_t whole = 0;
        std::size_t mixed = 0;
        for (const Stream &stream : this->streams) {
            whole += stream.isWhole ? 1 : 0;
            mixed += stream.versions.size() > 1 ? 1 : 0;
        }
        const std::string summary = "streams " + std::to_string(this->streams.size()) + ", whole "
                                    + std::to_string(whole) + ", with events of two versions "
                                    + std::to_string(mixed) + " (" + std::to_string(allowedMixed)
                                    + " are allowed)";
        this->record.line(summary);
        std::cout << summary << "\n";
        for (const auto &replica : this->replicas) {
            replica->stop();
        }
        if (this->hasFailed || whole == 0) {
            return 2;
        }
        return mixed > allowedMixed ? 1 : 0;
    }

    std::string root;
    std::string folder;
    Record record;
    bool isTroubled;
    Addresses addresses;
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<std::unique_ptr<RouterProcess>> routers;
    Clock::time_point loadUntil;
    std::mutex mutex;
    std::vector<Stream> streams;
    bool hasFailed = false;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "upgrade ROOT FOLDER RECORD\n";
        return 2;
    }
    const char *const trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    return Case(argv[1], argv[2], argv[3], isTroubled).run();
}
