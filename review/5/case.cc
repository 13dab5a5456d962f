// Two software versions of a service serve side by side while the routers are stopped and started in
// turn. Clients whose streams the stops cut off take them up at the routers that are back: do these
// streams go on?
#include "lab/lab.hh"

using namespace lab;

namespace {

constexpr int streamCount = 24;
constexpr int eventCount = 100;
constexpr std::int64_t eventIntervalMs = 130;
constexpr std::int64_t budgetMs = 15'000;
constexpr int newStreamCount = 24;
constexpr std::size_t routerCount = 3;
/// `roll_term`, x = 1, gap_s = 1.3: one router each 1.3 s.
constexpr std::int64_t rollGapMs = 1300;
constexpr std::int64_t restartDelayMs = 200;

struct Stream
{
    int firstStatus = 0;
    std::size_t firstEvents = 0;
    bool wasCut = false;
    int resumedStatus = 0;
    std::size_t resumedEvents = 0;
    bool whole = false;
    std::set<std::string> versions;
};

std::mutex mutex;
std::map<std::string, Stream> streams;
std::map<std::string, std::string> original;

std::string chunk(const std::string &bytes)
{
    return format("%zx\r\n", bytes.size()) + bytes + "\r\n";
}

bool serve(Replica &replica, const Request &request, Channel &channel)
{
    const std::string after = request.head.get("Last-Event-Id");
    const int first = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
    const std::string resumes = request.head.get("Resumes");
    const std::string id = resumes.empty() ? request.id() : resumes;
    note("%s (%s) runs %s from event %d", replica.id.c_str(), replica.version.c_str(),
         request.id().c_str(), first);
    {
        const std::lock_guard lock(mutex);
        streams[id].versions.insert(replica.version);
    }
    channel.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id()
                 + "\r\nX-Server-Stamp: " + replica.stamp()
                 + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const int last = id.starts_with("new") ? 3 : eventCount;
    for (int i = first; i <= last; ++i) {
        sleepMs(eventIntervalMs);
        if (!channel.send(chunk(format("id: %d\ndata: event %d of %s\n\n", i, i, id.c_str())))) {
            return false;
        }
    }
    return channel.send("0\r\n\r\n");
}

std::string streamRequest(const std::string &id, int number, std::int64_t budget,
                          const std::string &more)
{
    return "POST /sum/1 HTTP/1.1\r\nHost: " + hostName + "\r\nX-Attempt-Id: " + id
           + "\r\nX-Time-Budget: " + std::to_string(budget) + "\r\nAuthorization: Bearer " + apiKey
           + "\r\nX-Model: m\r\nX-Token-Count: 713,300\r\nX-Prompt-Prefix: 5c1e07a2:103,"
           + format("%x:500,%x:110", 0x91bd0000 + number, 0xe4400000 + number) + "\r\n" + more
           + "Content-Length: 4\r\n\r\nbody";
}

std::size_t eventsIn(const std::string &body)
{
    std::size_t count = 0;
    for (auto at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1)) {
        ++count;
    }
    return count;
}

Answer call(const Address &front, const std::string &bytes, std::int64_t waitMs)
{
    const auto channel = Channel::connect(front);
    return channel && channel->send(bytes) ? readAnswer(*channel, nowMs() + waitMs) : Answer();
}

/// A client that takes its stream up once at another router after a broken channel.
void readStream(const Deployment &deployment, int number)
{
    const std::string id = format("s%d", number);
    const std::int64_t begun = nowMs();
    // All streams are at the router that is stopped last.
    const Answer first = call(deployment.routers.back()->front,
                              streamRequest(id, number, budgetMs, ""), budgetMs);
    Stream result;
    result.firstStatus = first.status;
    result.firstEvents = eventsIn(first.body);
    result.whole = first.whole && result.firstEvents == eventCount;
    result.wasCut = first.status == 200 && !first.whole && result.firstEvents > 0;
    note("client: %s status %d, %zu events, %s", id.c_str(), first.status, result.firstEvents,
         result.whole ? "whole" : "cut");
    if (result.wasCut) {
        const std::int64_t left = budgetMs - (nowMs() - begun);
        const Answer second =
            call(deployment.routers[static_cast<std::size_t>(number) % (routerCount - 1)]->front,
                 streamRequest(id + "-again", number, left,
                               format("Last-Event-Id: %zu\r\nResumes: %s\r\n", result.firstEvents,
                                      id.c_str())),
                 left);
        result.resumedStatus = second.status;
        result.resumedEvents = eventsIn(second.body);
        result.whole = second.whole && result.firstEvents + result.resumedEvents == eventCount;
        note("client: %s taken up after event %zu: status %d, %zu events", id.c_str(),
             result.firstEvents, second.status, result.resumedEvents);
    }
    const std::lock_guard lock(mutex);
    result.versions = streams[id].versions;
    streams[id] = result;
}

/// As an operator does it: SIGTERM, and a new process once the old one has ended.
void stopAndStart(Router &router, bool awaitsReady)
{
    router.kill(SIGTERM);
    note("SIGTERM to %s", router.name.c_str());
    while (!router.ended()) {
        sleepMs(5);
    }
    note("%s has ended", router.name.c_str());
    sleepMs(restartDelayMs);
    router.start();
    if (awaitsReady) {
        router.awaitReady();
        note("%s is ready again", router.name.c_str());
    }
}

} // namespace

int main(int count, char **arguments)
{
    openRecord(count, arguments);
    Deployment deployment;
    Json route = plainRoute("r-sum", "/sum/", "streaming", "llm", budgetMs, 200, 2);
    route["resumable"] = true;
    route["gapGoalMs"] = 200;
    deployment.store.put("config", "main", manifest(7, {route}, {"llm"}));
    for (int i = 0; i < 4; ++i) {
        deployment.addReplica(format("i-%d", i), "llm", 48, serve, i < 2 ? "v1" : "v2");
    }
    if (!deployment.startRouters(routerCount)) {
        finish(deployment, couldNotRun, "the routers didn't become ready");
    }
    sleepMs(3000);
    std::vector<std::thread> clients;
    for (int i = 0; i < streamCount; ++i) {
        clients.emplace_back([&deployment, i] { readStream(deployment, i); });
    }
    sleepMs(500);
    std::vector<std::thread> operations;
    for (std::size_t i = 0; i < routerCount; ++i) {
        Router &router = *deployment.routers[i];
        const bool isLast = i + 1 == routerCount;
        if (isLast || hasTrouble()) {
            operations.emplace_back([&router, isLast] { stopAndStart(router, !isLast); });
        }
        sleepMs(isLast ? 0 : rollGapMs);
    }
    for (std::thread &operation : operations) {
        operation.join();
    }
    int begun = 0;
    std::vector<std::thread> newcomers;
    for (int i = 0; i < newStreamCount; ++i) {
        newcomers.emplace_back([&, i] {
            const Answer answer = call(deployment.routers[static_cast<std::size_t>(i) % 2]->front,
                                       streamRequest(format("new%d", i), 100 + i, 5000, ""), 5000);
            const std::lock_guard lock(mutex);
            begun += answer.status == 200 && eventsIn(answer.body) > 0 ? 1 : 0;
        });
    }
    for (std::thread &thread : newcomers) {
        thread.join();
    }
    for (std::thread &client : clients) {
        client.join();
    }
    int takenUp = 0;
    int wentOn = 0;
    int mixed = 0;
    for (const auto &[id, stream] : streams) {
        takenUp += stream.wasCut ? 1 : 0;
        wentOn += stream.wasCut && stream.resumedEvents > 0 ? 1 : 0;
        mixed += stream.versions.size() > 1 ? 1 : 0;
    }
    const bool isBroken = takenUp >= 12
                          && static_cast<double>(wentOn) / takenUp
                                 < 0.5 * static_cast<double>(begun) / newStreamCount;
    const std::string text =
        format("%d streams taken up, of which %d went on; %d of %d new streams began; %d streams "
               "of two versions",
               takenUp, wentOn, begun, newStreamCount, mixed);
    finish(deployment, takenUp < 12 ? couldNotRun : isBroken ? ruleBroken : ruleHeld, text);
}
