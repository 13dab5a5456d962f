// Clients that read an answer slowly, without and during a planned stop. See review/8/claim.txt.

#include <iostream>

#include "replica.hh"

using namespace review;

namespace {

constexpr int clientsAtEach = 12;
/// The largest answer of a plain request on the sheets.
constexpr std::size_t answerBytes = 4800;
constexpr int budgetMs = 15000;
/// Time for which a client reads nothing of its answer.
constexpr int pauseMs = 5000;
/// Time between the requests and the stop of the second router.
constexpr int stopAfterMs = 500;
/// More than three break the rule.
constexpr int allowedCuts = 3;
constexpr int settleMs = 5000;

struct Outcome
{
    bool isAsked = false;
    bool isWhole = false;
    bool isCut = false;
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
        this->record.line("part 1: no planned work");
        const auto [cutInPeace, wholeInPeace] = this->play(0, false);
        this->record.line("part 2: SIGTERM to the router that took the requests");
        const auto [cutAtStop, wholeAtStop] = this->play(1, true);
        const std::string summary =
            "of " + std::to_string(clientsAtEach) + " in each part: part 1 cut "
            + std::to_string(cutInPeace) + ", whole " + std::to_string(wholeInPeace)
            + "; part 2 cut " + std::to_string(cutAtStop) + ", whole " + std::to_string(wholeAtStop)
            + "; runs " + std::to_string(this->runs);
        this->record.line(summary);
        std::cout << summary << "\n";
        for (const auto &replica : this->replicas) {
            replica->stop();
        }
        if (cutInPeace > allowedCuts || cutAtStop > 0) {
            return 1;
        }
        return wholeInPeace == clientsAtEach && wholeAtStop == clientsAtEach ? 0 : 2;
    }

private:
    bool start()
    {
        if (!this->store.start()) {
            return false;
        }
        constexpr int replicaCount = 4;
        for (int i = 0; i < replicaCount; ++i) {
            const Replica::Identity identity{"i-core" + std::to_string(i), "petition-core",
                                             i % 2 == 0 ? "attica-a" : "attica-b"};
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
        this->store.put(
            "config", "main",
            manifest(json::array({routeEntry("record", "/record/", "non_idempotent",
                                             "petition-core", budgetMs, 150, 1, false)}),
                     json::array({serviceEntry("petition-core", 540)})));
        for (const json &fields :
             routerFields(this->addresses, 2, this->store.address(), anaforaAthens())) {
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
        // contactMs: the routers are in touch.
        pauseFor(settleMs);
        return true;
    }

    bool answer(Replica &replica, Connection &connection, const Message &request)
    {
        constexpr int workMs = 30;
        pauseFor(workMs);
        ++this->runs;
        this->record.line("replica " + replica.identity().id + " ran "
                          + request.field("X-Attempt-Id"));
        return connection.send(
            response(200, replica.fieldsFor(request), std::string(answerBytes, 'r')));
    }

    /// \returns how many answers were cut off, and how many came whole.
    std::pair<int, int> play(std::size_t router, bool isStopped)
    {
        std::vector<Outcome> outcomes(clientsAtEach);
        std::vector<std::thread> threads;
        std::atomic<int> asked{0};
        for (int i = 0; i < clientsAtEach; ++i) {
            threads.emplace_back([&, i] {
                const std::string name = "r" + std::to_string(router) + "-c" + std::to_string(i);
                this->runClient(this->routers[router]->front(), name, asked, outcomes[i]);
            });
        }
        if (isStopped) {
            while (asked < clientsAtEach) {
                pauseFor(1);
            }
            pauseFor(stopAfterMs);
            this->record.line("SIGTERM");
            this->routers[router]->signal(SIGTERM);
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        int cut = 0;
        int whole = 0;
        for (const Outcome &outcome : outcomes) {
            cut += outcome.isAsked && outcome.isCut ? 1 : 0;
            whole += outcome.isWhole ? 1 : 0;
        }
        return {cut, whole};
    }

    void runClient(const Address &front, const std::string &name, std::atomic<int> &asked,
                   Outcome &outcome)
    {
        // A small window: what the client does not read blocks the writer.
        constexpr int smallestBuffer = 1;
        const auto connection = Connection::open(front, smallestBuffer);
        std::string buffer;
        // The channel is a kept one: it has carried a request before.
        const bool isKept = connection && this->send(*connection, name + "-first")
                            && readMessage(*connection, buffer, budgetMs);
        const auto sentAt = Clock::now();
        outcome.isAsked = isKept && this->send(*connection, name + "-second");
        ++asked;
        if (!outcome.isAsked) {
            return;
        }
        pauseFor(this->isTroubled ? pauseMs : 0);
        ReadEnd end = ReadEnd::Data;
        const auto left = budgetMs - millisecondsBetween(sentAt, Clock::now());
        const auto reply = readMessage(*connection, buffer, left, &end);
        outcome.isWhole = reply && reply->status() == 200 && reply->body.size() == answerBytes;
        outcome.isCut = !reply && end != ReadEnd::TimedOut;
        this->record.line(
            "client " + name + "-second: "
            + (reply ? "answer " + std::to_string(reply->status()) + " with "
                           + std::to_string(reply->body.size()) + " bytes"
               : outcome.isCut ? "channel ended within the answer, " + std::to_string(buffer.size())
                                     + " bytes of it read"
                               : "no whole answer")
            + " after " + std::to_string(millisecondsBetween(sentAt, Clock::now())) + " ms");
    }

    bool send(const Connection &connection, const std::string &attempt)
    {
        const std::string body = "0123456789";
        this->record.line("client sends " + attempt);
        return connection.send(
            requestHead("POST", "/record/one", attempt, budgetMs, "", body.size()) + body);
    }

    std::string root;
    std::string folder;
    Record record;
    bool isTroubled;
    Addresses addresses;
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<std::unique_ptr<RouterProcess>> routers;
    std::atomic<int> runs{0};
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "slowreader ROOT FOLDER RECORD\n";
        return 2;
    }
    const char *const trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    return Case(argv[1], argv[2], argv[3], isTroubled).run();
}
