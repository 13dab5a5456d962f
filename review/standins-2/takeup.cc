// A router is cut off from the store and the other routers and restarted meanwhile, while replicas
// of two software versions serve. See review/7/claim.txt.

#include <iostream>

#include "links.hh"
#include "streams.hh"

using namespace review;

namespace {

constexpr int pieces = 93;
constexpr int pieceIntervalMs = 18;
constexpr int budgetMs = 15000;
constexpr int clients = 120;
constexpr int clientPauseMs = 400;
constexpr int routerCount = 4;
constexpr int replicaCount = 9;
/// Replicas from this one on run the next version.
constexpr int firstOfNextVersion = 5;
constexpr std::size_t cutRouter = 0;
constexpr int cutAtMs = 4000;
constexpr int cutForMs = 5500;
/// The process is killed this long after the begin of the cut.
constexpr int killAfterMs = 2200;
constexpr int restartAfterMs = 500;
constexpr int loadMs = 12000;
constexpr int settleMs = 4000;
/// Fewer streams that are taken up do not count.
constexpr int leastTakenUp = 12;

class Case
{
public:
    Case(std::string root, std::string folder, const std::string &record, bool isCut, bool isKilled)
        : root(std::move(root))
        , folder(std::move(folder))
        , record(record)
        , isCut(isCut)
        , isKilled(isKilled)
        , store(this->addresses.host(2))
    {}

    int run()
    {
        if (!this->start()) {
            return 2;
        }
        this->loadUntil = Clock::now() + Milliseconds{loadMs};
        std::vector<std::thread> threads;
        for (int i = 0; i < clients; ++i) {
            threads.emplace_back([this, i] { this->runClient(i); });
        }
        this->disturb();
        for (std::thread &thread : threads) {
            thread.join();
        }
        return this->judge();
    }

private:
    bool start() { return this->startReplicas() && this->startRouters(); }

    bool startReplicas()
    {
        if (!this->store.start()) {
            return false;
        }
        const std::vector<std::string> zones = krcaGrind().zones;
        for (int i = 0; i < replicaCount; ++i) {
            const Replica::Identity identity{"i-llm" + std::to_string(i), "sharpen-llm",
                                             zones[i % zones.size()],
                                             i < firstOfNextVersion ? "v1" : "v2", 48};
            this->replicas.push_back(std::make_unique<Replica>(
                this->store, identity, Address{this->addresses.host(100 + i), 0},
                [this](Replica &replica, Connection &connection, const Message &request) {
                    return this->answer(replica, connection, request);
                }));
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
        return true;
    }

    bool startRouters()
    {
        this->storeLink =
            std::make_unique<Forwarder>(Address{this->addresses.host(3), 0}, this->store.address());
        if (!this->storeLink->start()) {
            return false;
        }
        const std::vector<json> all =
            routerFields(this->addresses, routerCount, this->store.address(), krcaGrind());
        std::vector<std::string> hosts;
        std::vector<std::string> aliases;
        for (std::size_t i = 0; i < all.size(); ++i) {
            hosts.push_back(all[i]["ip"].get<std::string>());
            aliases.push_back(this->addresses.host(50 + static_cast<int>(i)));
        }
        this->mesh =
            std::make_unique<Mesh>(hosts, aliases, all[0]["internalPorts"][0].get<std::uint16_t>(),
                                   all[0]["internalPorts"][1].get<std::uint16_t>());
        if (!this->mesh->start()) {
            return false;
        }
        for (std::size_t i = 0; i < all.size(); ++i) {
            std::vector<std::string> seeds = aliases;
            seeds.erase(seeds.begin() + static_cast<std::ptrdiff_t>(i));
            json fields = withSeeds(all[i], seeds);
            if (i == cutRouter) {
                fields["platform"]["address"] = this->storeLink->address().text();
            }
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

    bool answer(Replica &replica, Connection &connection, const Message &request)
    {
        this->record.line("replica " + replica.identity().id + " " + replica.identity().version
                          + " runs " + request.field("X-Attempt-Id") + " after event "
                          + request.field("Last-Event-Id"));
        return writeEvents(replica, connection, request, pieces, pieceIntervalMs);
    }

    void disturb()
    {
        pauseFor(cutAtMs);
        this->setCut(this->isCut);
        pauseFor(killAfterMs);
        if (this->isKilled) {
            this->record.line("the process of router 0 is killed and started again");
            this->routers[cutRouter]->kill();
            pauseFor(restartAfterMs);
            this->hasFailed = !this->routers[cutRouter]->start();
        }
        pauseFor(cutForMs - killAfterMs - restartAfterMs);
        this->setCut(false);
    }

    void setCut(bool cut)
    {
        this->record.line(cut ? "router 0 is cut off from the store and the other routers"
                              : "nothing is cut off");
        this->mesh->isolate(cutRouter, cut);
        this->storeLink->setCut(cut);
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
        // Of tries at the routers that nothing has happened to.
        int takenUp = 0;
        int goneOn = 0;
        int begunAnew = 0;
        int sentAnew = 0;
        int mixed = 0;
        for (const Stream &stream : this->streams) {
            mixed += stream.versions.size() > 1 ? 1 : 0;
            for (const Try &each : stream.tries) {
                if (each.router == cutRouter) {
                    continue;
                }
                (each.isTakeUp ? takenUp : sentAnew) += 1;
                (each.isTakeUp ? goneOn : begunAnew) += each.hasBegun ? 1 : 0;
            }
        }
        const std::string summary =
            "streams " + std::to_string(this->streams.size()) + "; at the other routers: taken up "
            + std::to_string(takenUp) + ", of which went on " + std::to_string(goneOn) + "; new "
            + std::to_string(sentAnew) + ", of which began " + std::to_string(begunAnew)
            + "; with events of two versions " + std::to_string(mixed);
        this->record.line(summary);
        std::cout << summary << "\n";
        for (const auto &replica : this->replicas) {
            replica->stop();
        }
        if (this->hasFailed || begunAnew == 0) {
            return 2;
        }
        const double shareGoneOn = takenUp == 0 ? 1.0 : static_cast<double>(goneOn) / takenUp;
        const double shareBegun = static_cast<double>(begunAnew) / sentAnew;
        return takenUp >= leastTakenUp && shareGoneOn < shareBegun / 2 ? 1 : 0;
    }

    std::string root;
    std::string folder;
    Record record;
    bool isCut;
    bool isKilled;
    Addresses addresses;
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::unique_ptr<Forwarder> storeLink;
    std::unique_ptr<Mesh> mesh;
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
        std::cerr << "takeup ROOT FOLDER RECORD\n";
        return 2;
    }
    const char *const given = std::getenv("TROUBLE");
    const std::string trouble = given == nullptr ? "1" : given;
    // TROUBLE=kill kills the process without cutting it off before.
    return Case(argv[1], argv[2], argv[3], trouble != "0" && trouble != "kill", trouble != "0")
        .run();
}
