// One replica falls silent for a second during a planned stop, while the others have no room. See
// review/9/claim.txt.

#include <iostream>

#include "streams.hh"

using namespace review;

namespace {

constexpr int pieces = 50;
constexpr int pieceIntervalMs = 40;
constexpr int budgetMs = 15000;
constexpr int routerCount = 2;
constexpr int replicaCount = 3;
constexpr int slots = 24;
constexpr int queueLength = 2;
/// As many streams as the replicas have slots.
constexpr int clients = replicaCount * slots;
constexpr std::size_t stoppedRouter = 0;
constexpr int startIntervalMs = 5;
constexpr int stopAtMs = 700;
/// The replica is silent this long after the stop has begun, for a second.
constexpr int silenceAfterMs = 200;
constexpr int silenceMs = 1000;
constexpr int settleMs = 4000;

/// The slots and the queue of one replica.
class Room
{
public:
    /// Waits for a slot. \returns false if the queue is full.
    bool enter()
    {
        std::unique_lock lock(this->mutex);
        if (this->running >= slots && this->waiting >= queueLength) {
            return false;
        }
        ++this->waiting;
        this->freed.wait(lock, [this] { return this->running < slots; });
        --this->waiting;
        ++this->running;
        return true;
    }
    void leave()
    {
        const std::lock_guard lock(this->mutex);
        --this->running;
        this->freed.notify_one();
    }
    [[nodiscard]] std::string load()
    {
        const std::lock_guard lock(this->mutex);
        return std::to_string(this->running) + "," + std::to_string(this->waiting) + ","
               + std::to_string(slots);
    }
    [[nodiscard]] int held()
    {
        const std::lock_guard lock(this->mutex);
        return this->running + this->waiting;
    }

private:
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0;
    int waiting = 0;
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
        this->streams.resize(clients);
        std::vector<std::thread> threads;
        for (int i = 0; i < clients; ++i) {
            threads.emplace_back([this, i] { this->runClient(i); });
        }
        pauseFor(stopAtMs);
        this->record.line("SIGTERM to router 0");
        this->routers[stoppedRouter]->signal(SIGTERM);
        pauseFor(silenceAfterMs);
        for (int i = 0; i < replicaCount; ++i) {
            this->record.line("replica " + std::to_string(i) + " holds "
                              + std::to_string(this->rooms[i]->held()));
        }
        if (this->isTroubled) {
            this->record.line("replica 0 falls silent");
            this->silentUntil = Clock::now() + Milliseconds{silenceMs};
            this->isSilent = true;
            pauseFor(silenceMs);
            this->isSilent = false;
            this->record.line("replica 0 goes on");
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
        const std::vector<std::string> zones = krcaGrind().zones;
        for (int i = 0; i < replicaCount; ++i) {
            const Replica::Identity identity{"i-llm" + std::to_string(i), "sharpen-llm", zones[i],
                                             "v1", slots};
            this->rooms.push_back(std::make_unique<Room>());
            this->replicas.push_back(std::make_unique<Replica>(
                this->store, identity, Address{this->addresses.host(100 + i), 0},
                [this, i](Replica &replica, Connection &connection, const Message &request) {
                    return this->answer(i, replica, connection, request);
                }));
            if (!this->replicas.back()->start()) {
                return false;
            }
            this->replicas.back()->enter();
        }
        json service = serviceEntry("sharpen-llm", 300);
        service["engine"] = {
            {"slots", slots}, {"kvCapacity", 590695}, {"models", {{{"name", "m"}}}}};
        this->store.put("config", "main",
                        manifest(json::array({routeEntry("guide", "/guide/", "streaming",
                                                         "sharpen-llm", budgetMs, 200, 2, true)}),
                                 json::array({service})));
        for (const json &fields :
             routerFields(this->addresses, routerCount, this->store.address(), krcaGrind())) {
            this->routers.push_back(
                std::make_unique<RouterProcess>(this->root, this->folder, fields));
            if (!this->routers.back()->start()) {
                return false;
            }
        }
        for (const auto &router : this->routers) {
            if (!router->awaitReady(15000)) {
                return false;
            }
        }
        pauseFor(settleMs);
        return true;
    }

    bool answer(int number, Replica &replica, Connection &connection, const Message &request)
    {
        const std::string attempt = request.field("X-Attempt-Id");
        if (!this->rooms[number]->enter()) {
            this->record.line("replica " + replica.identity().id + " turns " + attempt + " away");
            return connection.send(response(503,
                                            "X-Attempt-Id: " + attempt
                                                + "\r\nX-Not-Executed: 1\r\nX-Replica-Load: "
                                                + this->rooms[number]->load() + "\r\n",
                                            ""));
        }
        this->record.line("replica " + replica.identity().id + " runs " + attempt + " after event "
                          + request.field("Last-Event-Id"));
        const bool isWhole = writeEvents(replica, connection, request, pieces, pieceIntervalMs,
                                         [this, number] { this->awaitVoice(number); });
        this->rooms[number]->leave();
        return isWhole;
    }

    /// A silent replica sends nothing.
    void awaitVoice(int number) const
    {
        while (number == 0 && this->isSilent) {
            pauseFor(2);
        }
    }

    void runClient(int client)
    {
        pauseFor(client * startIntervalMs);
        Stream &stream = this->streams[client];
        stream.client = client;
        stream.pieces = pieces;
        // Channels are spread by a hash of the client, and so unevenly: half of them are here.
        const std::size_t router =
            client % 2 == 0 ? stoppedRouter : 1 + client / 2 % (this->routers.size() - 1);
        tryOnce(this->routers[router]->front(), router, Clock::now() + Milliseconds{budgetMs},
                stream);
        this->record.line("router " + std::to_string(router) + " " + describe(stream));
    }

    int judge()
    {
        int cut = 0;
        int cutElsewhere = 0;
        int whole = 0;
        int refused = 0;
        for (const Stream &stream : this->streams) {
            const Try &only = stream.tries.front();
            const bool isCut = only.status == 200 && !stream.isWhole;
            (only.router == stoppedRouter ? cut : cutElsewhere) += isCut ? 1 : 0;
            whole += stream.isWhole ? 1 : 0;
            refused += only.status != 200 ? 1 : 0;
        }
        const std::string summary = "streams " + std::to_string(clients) + ", whole "
                                    + std::to_string(whole) + ", refused " + std::to_string(refused)
                                    + ", ended without a complete answer at the stopped router "
                                    + std::to_string(cut) + " (none is allowed), at the others "
                                    + std::to_string(cutElsewhere);
        this->record.line(summary);
        std::cout << summary << "\n";
        for (const auto &replica : this->replicas) {
            replica->stop();
        }
        if (whole == 0) {
            return 2;
        }
        return cut > 0 ? 1 : 0;
    }

    std::string root;
    std::string folder;
    Record record;
    bool isTroubled;
    Addresses addresses;
    Store store;
    std::vector<std::unique_ptr<Room>> rooms;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<std::unique_ptr<RouterProcess>> routers;
    std::vector<Stream> streams;
    std::atomic<bool> isSilent{false};
    Clock::time_point silentUntil;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "silence ROOT FOLDER RECORD\n";
        return 2;
    }
    const char *const trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    return Case(argv[1], argv[2], argv[3], isTroubled).run();
}
