// Replicas send some of their answers twice, the second time late. See review/6/claim.txt.

#include <iostream>

#include "replica.hh"

using namespace review;

namespace {

constexpr int clients = 160;
constexpr int routerCount = 2;
constexpr int replicaCount = 4;
constexpr int slots = 6;
constexpr int queueLength = 24;
constexpr int workMs = 15;
constexpr int budgetMs = 1500;
constexpr int loadMs = 12000;
/// The trouble: two of the four replicas, three in a hundred of their answers, for five seconds.
constexpr int troubleAtMs = 3000;
constexpr int troubleForMs = 5000;
constexpr int troubledReplicas = 2;
constexpr unsigned troubledPercent = 3;
constexpr int settleMs = 3500;

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
        this->loadUntil = Clock::now() + Milliseconds{loadMs};
        std::vector<std::thread> threads;
        for (int i = 0; i < clients; ++i) {
            threads.emplace_back([this, i] { this->runClient(i); });
        }
        if (this->isTroubled) {
            pauseFor(troubleAtMs);
            this->record.line("answers are sent twice");
            this->isDoubling = true;
            pauseFor(troubleForMs);
            this->isDoubling = false;
            this->record.line("answers are sent once");
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
            const Replica::Identity identity{"i-desk" + std::to_string(i), "job-desk", zones[i]};
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
        this->store.put("config", "main",
                        manifest(json::array({routeEntry("orders", "/orders/", "non_idempotent",
                                                         "job-desk", 800, 100, 1, false)}),
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

    bool answer(int number, Replica &replica, Connection &connection, const Message &request)
    {
        const std::string attempt = request.field("X-Attempt-Id");
        // A second answer to the request before arrives where the answer to this one is expected.
        thread_local std::string second;
        thread_local int secondOf = -1;
        if (secondOf == connection.handle() && !second.empty()) {
            this->record.line("replica " + replica.identity().id
                              + " sends the answer before again, before that to " + attempt);
            if (!connection.send(second)) {
                return false;
            }
            second.clear();
        }
        std::string bytes;
        if (!this->rooms[number]->enter()) {
            ++this->rejections;
            bytes = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: "
                    "0\r\n\r\n";
        } else {
            {
                const std::lock_guard lock(this->mutex);
                this->runs[attempt].push_back(replica.identity().id);
            }
            pauseFor(workMs);
            this->rooms[number]->leave();
            bytes = response(200, replica.fieldsFor(request), std::string(800, 'r'));
        }
        if (this->isDoubling && number < troubledReplicas
            && ++this->answers % 100 < troubledPercent) {
            second = bytes;
            secondOf = connection.handle();
        }
        return connection.send(bytes);
    }

    void runClient(int client)
    {
        std::string buffer;
        std::unique_ptr<Connection> connection;
        for (int number = 0; Clock::now() < this->loadUntil; ++number) {
            if (!connection) {
                buffer.clear();
                connection = Connection::open(this->routers[client % routerCount]->front());
            }
            const std::string attempt = "o" + std::to_string(client) + "-" + std::to_string(number);
            const std::string body = "order " + attempt;
            const bool isSent =
                connection
                && connection->send(
                    requestHead("POST", "/orders/new", attempt, budgetMs, "", body.size()) + body);
            const auto reply =
                isSent ? readMessage(*connection, buffer, budgetMs + 500) : std::nullopt;
            ++this->sent;
            {
                const std::lock_guard lock(this->mutex);
                this->statuses[attempt] = reply ? reply->status() : 0;
            }
            if (!reply || reply->field("Connection") == "close") {
                connection.reset();
            }
            if (!reply || reply->status() != 200) {
                pauseFor(100);
            }
        }
    }

    int judge()
    {
        for (const auto &replica : this->replicas) {
            replica->stop();
        }
        int twice = 0;
        int falselyRefused = 0;
        std::map<int, int> byStatus;
        for (const auto &[attempt, status] : this->statuses) {
            ++byStatus[status];
            const auto found = this->runs.find(attempt);
            const std::size_t count = found == this->runs.end() ? 0 : found->second.size();
            if (count > 1) {
                ++twice;
                std::string where;
                for (const std::string &id : found->second) {
                    where += " " + id;
                }
                this->record.line("request " + attempt + " ran " + std::to_string(count)
                                  + " times, at" + where + "; the client got "
                                  + std::to_string(status));
            }
            if (count > 0 && (status == 429 || status == 503)) {
                ++falselyRefused;
                this->record.line("request " + attempt + " ran and was answered "
                                  + std::to_string(status));
            }
        }
        std::string summary = "requests " + std::to_string(this->sent) + ", rejections "
                              + std::to_string(this->rejections) + ", run more than once "
                              + std::to_string(twice) + ", run and answered 503 "
                              + std::to_string(falselyRefused) + "; answers";
        for (const auto &[status, count] : byStatus) {
            summary += " " + std::to_string(status) + ": " + std::to_string(count);
        }
        this->record.line(summary);
        std::cout << summary << "\n";
        if (this->rejections == 0 || byStatus[200] == 0) {
            return 2;
        }
        return twice + falselyRefused > 0 ? 1 : 0;
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
    Clock::time_point loadUntil;
    std::atomic<bool> isDoubling{false};
    std::atomic<unsigned> answers{0};
    std::atomic<int> rejections{0};
    std::atomic<int> sent{0};
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> runs;
    std::map<std::string, int> statuses;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "doubleanswer ROOT FOLDER RECORD\n";
        return 2;
    }
    const char *const trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    return Case(argv[1], argv[2], argv[3], isTroubled).run();
}
