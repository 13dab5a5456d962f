// The clients of an area send long requests at once, and all are handed to one machine. See
// review/10/claim.txt.

#include <iostream>

#include "replica.hh"

using namespace review;

namespace {

/// 10 + 12 + 10 + 10 on the sheet.
constexpr int clients = 42;
constexpr int routerCount = 8;
constexpr int replicaCount = 4;
/// maxBodyBytes of the manifest.
constexpr std::size_t bodyBytes = 4194304;
constexpr std::size_t pieceBytes = 16 << 10;
constexpr int budgetMs = 6000;
constexpr int workMs = 15;
/// A machine's own link has 1,000 Mbit/s.
constexpr double linkBytesPerMs = 125000.0;
constexpr std::size_t memoryKilobytes = 260 * 1024;
constexpr int allowedLost = 3;
constexpr int settleMs = 4000;

struct Outcome
{
    std::string attempt;
    int status = 0;
    bool isKept = false;
    bool hasEnded = false;
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
        std::atomic<bool> isOver{false};
        std::thread monitor([&] {
            while (!isOver) {
                this->limitMemory();
                pauseFor(1);
            }
        });
        std::vector<Outcome> outcomes(clients);
        std::vector<std::thread> threads;
        for (int i = 0; i < clients; ++i) {
            threads.emplace_back([&, i] { this->runClient(i, outcomes[i]); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        isOver = true;
        monitor.join();
        return this->judge(outcomes);
    }

private:
    bool start()
    {
        if (!this->store.start()) {
            return false;
        }
        const std::vector<std::string> zones = krcaGrind().zones;
        for (int i = 0; i < replicaCount; ++i) {
            const Replica::Identity identity{"i-desk" + std::to_string(i), "job-desk", zones[i]};
            this->replicas.push_back(std::make_unique<Replica>(
                this->store, identity, Address{this->addresses.host(100 + i), 0},
                [this](Replica &replica, Connection &connection, const Message &request) {
                    pauseFor(workMs);
                    this->record.line("replica " + replica.identity().id + " ran "
                                      + request.field("X-Attempt-Id"));
                    return connection.send(
                        response(200, replica.fieldsFor(request), std::string(800, 'r')));
                }));
            this->replicas.back()->onHead([this](const Message &request) {
                const std::lock_guard lock(this->mutex);
                this->passedOn.insert(request.field("X-Attempt-Id"));
            });
            if (!this->replicas.back()->start()) {
                return false;
            }
            this->replicas.back()->enter();
        }
        this->store.put("config", "main",
                        manifest(json::array({routeEntry("orders", "/orders/", "non_idempotent",
                                                         "job-desk", budgetMs, 100, 1, false)}),
                                 json::array({serviceEntry("job-desk", 110)})));
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

    /// Ends a router whose memory exceeds what its machine has, as the platform does.
    void limitMemory()
    {
        for (const auto &router : this->routers) {
            const std::size_t used = router->residentKilobytes();
            this->peakKilobytes = std::max(this->peakKilobytes, used);
            if (used > memoryKilobytes) {
                this->record.line("a router has " + std::to_string(used / 1024)
                                  + " MB and is killed");
                ++this->killed;
                router->kill();
            }
        }
    }

    void runClient(int client, Outcome &outcome)
    {
        const int machines = this->isTroubled ? 1 : routerCount;
        const int sharers = (clients + machines - 1) / machines;
        const auto connection = Connection::open(this->routers[client % machines]->front());
        if (!connection) {
            return;
        }
        std::string buffer;
        const std::string name = "c" + std::to_string(client);
        outcome.attempt = name + "-long";
        // The channel is a kept one: it has carried a request before.
        const std::string small = "0123456789";
        outcome.isKept = connection->send(requestHead("POST", "/orders/new", name + "-short",
                                                      budgetMs, "", small.size())
                                          + small)
                         && readMessage(*connection, buffer, budgetMs);
        const auto begin = Clock::now();
        bool isOpen = outcome.isKept
                      && connection->send(requestHead("POST", "/orders/new", outcome.attempt,
                                                      budgetMs, "", bodyBytes));
        const std::string piece(pieceBytes, 'b');
        for (std::size_t sent = 0; isOpen && sent < bodyBytes; sent += pieceBytes) {
            isOpen = connection->send(piece);
            const double due = static_cast<double>(sent) * sharers / linkBytesPerMs;
            const auto ahead =
                static_cast<std::int64_t>(due) - millisecondsBetween(begin, Clock::now());
            if (ahead > 1) {
                pauseFor(ahead);
            }
        }
        ReadEnd end = ReadEnd::Data;
        const auto reply = readMessage(*connection, buffer,
                                       budgetMs - millisecondsBetween(begin, Clock::now()), &end);
        outcome.status = reply ? reply->status() : 0;
        outcome.hasEnded = !reply && end != ReadEnd::TimedOut;
        this->record.line("client " + outcome.attempt + ": "
                          + (reply              ? std::to_string(outcome.status)
                             : outcome.hasEnded ? "the channel ended without an answer"
                                                : "no answer in time"));
    }

    int judge(const std::vector<Outcome> &outcomes)
    {
        int lost = 0;
        int served = 0;
        for (const Outcome &outcome : outcomes) {
            served += outcome.status == 200 ? 1 : 0;
            const bool isLost =
                outcome.isKept && outcome.hasEnded && this->passedOn.contains(outcome.attempt);
            lost += isLost ? 1 : 0;
        }
        const std::string summary =
            "long requests " + std::to_string(outcomes.size()) + ", served "
            + std::to_string(served) + ", passed on and closed without an answer "
            + std::to_string(lost) + " (" + std::to_string(allowedLost)
            + " are allowed), most memory of a router " + std::to_string(this->peakKilobytes / 1024)
            + " MB, routers killed " + std::to_string(this->killed);
        this->record.line(summary);
        std::cout << summary << "\n";
        for (const auto &replica : this->replicas) {
            replica->stop();
        }
        if (lost > allowedLost) {
            return 1;
        }
        return served + static_cast<int>(this->killed) > 0 ? 0 : 2;
    }

    std::string root;
    std::string folder;
    Record record;
    bool isTroubled;
    Addresses addresses;
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<std::unique_ptr<RouterProcess>> routers;
    std::mutex mutex;
    std::set<std::string> passedOn;
    std::size_t peakKilobytes = 0;
    int killed = 0;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "longbodies ROOT FOLDER RECORD\n";
        return 2;
    }
    const char *const trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    return Case(argv[1], argv[2], argv[3], isTroubled).run();
}
