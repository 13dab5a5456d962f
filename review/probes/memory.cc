// Replicas read slowly for some seconds while clients send bodies that the limits allow. Does a
// router stay within its memory? The script does what the platform does to a process that exceeds
// `memoryMb`: it kills it and starts it again.
#include "lab/lab.hh"

using namespace lab;

namespace {

constexpr long memoryMb = 260;
constexpr std::int64_t restartDelayMs = 500;
constexpr int replicaCount = 3;
/// Within `maxBodyBytes`, 4,194,304.
constexpr std::size_t bodyBytes = 3'900'000;
constexpr int clientsPerRouter = 90;
/// Requests a second at each router: 250 Mbit/s of a link's 1,000.
constexpr double perSecond = 8.0;
constexpr std::int64_t slowMs = 9000;
/// What a slow replica reads from one channel.
constexpr std::size_t slowBytesPerSecond = 100'000;
constexpr int waves = 4;
constexpr std::int64_t wavePauseMs = 19'000;
constexpr int budgetMs = 15'000;

std::atomic<bool> isSlow = false;
std::atomic<bool> stopping = false;
std::mutex mutex;
std::map<int, int> statuses;

struct Watch
{
    int kills = 0;
    long peakKb = 0;
    int otherEnds = 0;
};

/// Reads requests at the speed of the moment and answers them.
void serveChannel(const std::string &id, Channel &channel)
{
    while (true) {
        std::optional<Head> head = channel.readHead(nowMs() + 120'000);
        if (!head) {
            return;
        }
        std::size_t left = std::strtoul(head->get("Content-Length").c_str(), nullptr, 10);
        left -= std::min(left, channel.buffer.size());
        channel.buffer.clear();
        char bytes[65536];
        while (left > 0) {
            const std::size_t size = isSlow ? 2000 : sizeof bytes;
            const ssize_t count = recv(channel.fd, bytes, std::min(size, left), 0);
            if (count <= 0) {
                return;
            }
            left -= static_cast<std::size_t>(count);
            if (isSlow) {
                sleepMs(static_cast<std::int64_t>(1000 * size / slowBytesPerSecond));
            }
        }
        const std::string attempt = head->get("X-Attempt-Id");
        note("%s runs %s", id.c_str(), attempt.c_str());
        sleepMs(20);
        if (!channel.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: s."
                          + id + "\r\nContent-Length: 2\r\n\r\nok")) {
            return;
        }
    }
}

void sendRequests(const Router &router, int number)
{
    unsigned seed = static_cast<unsigned>(number) + 1;
    static const std::string body(bodyBytes, 'x');
    for (int count = 0; !stopping; ++count) {
        const double share = (rand_r(&seed) % 1000 + 1) / 1001.0;
        const auto wait = static_cast<std::int64_t>(2000.0 * share * clientsPerRouter / perSecond);
        for (std::int64_t slept = 0; slept < wait && !stopping; slept += 50) {
            sleepMs(50);
        }
        const std::string id = format("%d-%d", number, count);
        const auto channel = Channel::connect(router.front);
        Answer answer;
        if (channel && channel->send(clientRequest("POST", "/doc/1", id, budgetMs, body))) {
            answer = readAnswer(*channel, nowMs() + budgetMs);
        }
        const std::lock_guard lock(mutex);
        ++statuses[answer.status];
        note("client: %s answered %d", id.c_str(), answer.status);
    }
}

/// The platform: ends a process over its memory, and starts it again.
void watchMemory(Router &router, Watch &watch)
{
    while (!stopping) {
        sleepMs(5);
        const long residentKb = router.residentKb();
        watch.peakKb = std::max(watch.peakKb, residentKb);
        if (residentKb > memoryMb * 1024) {
            note("platform: %s holds %ld MB, over its %ld: killed", router.name.c_str(),
                 residentKb / 1024, memoryMb);
            ++watch.kills;
            router.stop();
            sleepMs(restartDelayMs);
            router.start();
        } else if (const auto end = router.ended()) {
            note("platform: %s ended by itself: %s", router.name.c_str(), end->c_str());
            ++watch.otherEnds;
            sleepMs(restartDelayMs);
            router.start();
        }
    }
}

} // namespace

int main(int count, char **arguments)
{
    openRecord(count, arguments);
    Deployment deployment;
    deployment.store.put(
        "config", "main",
        manifest(7, {plainRoute("r-doc", "/doc/", "idempotent", "app", budgetMs, 10'000, 2)},
                 {"app"}));
    for (int i = 0; i < replicaCount; ++i) {
        Replica &replica = deployment.addReplica(format("i-%d", i), "app", 48, Responder());
        replica.channelHandler = [id = replica.id](Channel &channel) { serveChannel(id, channel); };
    }
    if (!deployment.startRouters(2)) {
        finish(deployment, couldNotRun, "the routers didn't become ready");
    }
    std::vector<Watch> watches(2);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < 2; ++i) {
        threads.emplace_back([&, i] { watchMemory(*deployment.routers[i], watches[i]); });
        for (int client = 0; client < clientsPerRouter; ++client) {
            threads.emplace_back([&, i, client] {
                sendRequests(*deployment.routers[i], static_cast<int>(i) * 1000 + client);
            });
        }
    }
    sleepMs(6000);
    for (int wave = 0; wave < waves; ++wave) {
        isSlow = hasTrouble();
        note("replicas read slowly: %s", isSlow ? "yes" : "no");
        sleepMs(slowMs);
        isSlow = false;
        note("replicas read at full speed");
        sleepMs(wavePauseMs - slowMs);
    }
    stopping = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::string answers;
    for (const auto &[status, number] : statuses) {
        answers += format(" %d: %d;", status, number);
    }
    const std::string text = format(
        "killed for memory: router 1 %d times, router 2 %d times; peaks %ld and %ld MB of %ld; "
        "other ends %d; answers%s",
        watches[0].kills, watches[1].kills, watches[0].peakKb / 1024, watches[1].peakKb / 1024,
        memoryMb, watches[0].otherEnds + watches[1].otherEnds, answers.c_str());
    const bool isBroken = std::all_of(watches.begin(), watches.end(), [](const Watch &watch) {
        return watch.kills + watch.otherEnds >= 3;
    });
    finish(deployment, isBroken ? ruleBroken : ruleHeld, text);
}
