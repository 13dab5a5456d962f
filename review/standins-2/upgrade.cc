// Replicas crash and start again under their ids, with the next version of their software, while
// the store is down. See review/6/claim.txt.

#include <iostream>

#include "streams.hh"

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
        this->record.line("replica " + replica.identity().id + " " + replica.identity().version
                          + " runs " + request.field("X-Attempt-Id") + " after event "
                          + request.field("Last-Event-Id"));
        return writeEvents(replica, connection, request, pieces, pieceIntervalMs);
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
        constexpr int startIntervalMs = 20;
        constexpr std::size_t tries = 2;
        pauseFor(client * startIntervalMs);
        for (int number = 0; Clock::now() < this->loadUntil; ++number) {
            Stream stream;
            stream.client = client;
            stream.number = number;
            stream.pieces = pieces;
            const auto until = Clock::now() + Milliseconds{budgetMs};
            while (stream.tries.size() < tries && !stream.isWhole) {
                const std::size_t router = (client + stream.tries.size()) % this->routers.size();
                tryOnce(this->routers[router]->front(), router, until, stream);
            }
            this->record.line(describe(stream));
            {
                const std::lock_guard lock(this->mutex);
                this->streams.push_back(stream);
            }
            pauseFor(clientPauseMs);
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
