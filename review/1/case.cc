// A release ends while the routers are stopped and started in turn. Clients whose streams the stops
// cut off take them up at the routers that are back. Does a stream go on at the version that began it?
#include "lab/lab.hh"

using namespace lab;

namespace {

constexpr int streamCount = 40;
constexpr int eventCount = 100;
constexpr std::int64_t eventIntervalMs = 130;
constexpr std::int64_t budgetMs = 15'000;
constexpr std::size_t routerCount = 3;
/// `roll_term`, x = 1, gap_s = 1.3: one router each 1.3 s.
constexpr std::int64_t rollGapMs = 1300;
constexpr std::int64_t restartDelayMs = 200;
/// When the last replicas of v1 leave, after the SIGTERM to the last router.
constexpr std::int64_t leaveMs = 1500;
/// "More than two streams hold events from replicas of two software versions".
constexpr int allowedStreams = 2;

struct Stream
{
    std::size_t events = 0;
    bool wasCut = false;
    int resumedStatus = 0;
    std::size_t resumedEvents = 0;
    /// Versions that wrote the events which the client holds.
    std::set<std::string> versions;
};

std::mutex mutex;
std::vector<Stream> streams(streamCount);

std::string chunk(const std::string &bytes)
{
    return format("%zx\r\n", bytes.size()) + bytes + "\r\n";
}

/// Writes events that name the replica's software version.
bool serve(Replica &replica, const Request &request, Channel &channel)
{
    const std::string after = request.head.get("Last-Event-Id");
    const int first = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
    note("%s (%s) runs %s from event %d", replica.id.c_str(), replica.version.c_str(),
         request.id().c_str(), first);
    channel.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id()
                 + "\r\nX-Server-Stamp: " + replica.stamp()
                 + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = first; i <= eventCount; ++i) {
        sleepMs(eventIntervalMs);
        if (!channel.send(
                chunk(format("id: %d\ndata: by-%s event %d\n\n", i, replica.version.c_str(), i)))) {
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

std::size_t countOf(const std::string &body, const std::string &text)
{
    std::size_t count = 0;
    for (auto at = body.find(text); at != std::string::npos; at = body.find(text, at + 1)) {
        ++count;
    }
    return count;
}

Answer call(const Address &front, const std::string &bytes, std::int64_t waitMs)
{
    const auto channel = Channel::connect(front);
    return channel && channel->send(bytes) ? readAnswer(*channel, nowMs() + waitMs) : Answer();
}

void recordVersions(Stream &stream, const std::string &body)
{
    for (const char *const version : {"v1", "v2"}) {
        if (countOf(body, format("by-%s ", version)) > 0) {
            stream.versions.insert(version);
        }
    }
}

/// A client that takes its stream up once at another router after a broken channel.
void readStream(const Deployment &deployment, int number)
{
    const std::string id = format("s%d", number);
    const std::int64_t begun = nowMs();
    // All streams are at the router that is stopped last.
    const Answer first = call(deployment.routers.back()->front,
                              streamRequest(id, number, budgetMs, ""), budgetMs);
    Stream stream;
    stream.events = countOf(first.body, "id: ");
    stream.wasCut = first.status == 200 && !first.whole && stream.events > 0;
    recordVersions(stream, first.body);
    note("client: %s status %d, %zu events, %s", id.c_str(), first.status, stream.events,
         first.whole ? "whole" : "cut");
    if (stream.wasCut) {
        const std::int64_t left = budgetMs - (nowMs() - begun);
        const Answer second =
            call(deployment.routers[static_cast<std::size_t>(number) % (routerCount - 1)]->front,
                 streamRequest(id + "-again", number, left,
                               format("Last-Event-Id: %zu\r\nResumes: %s\r\n", stream.events,
                                      id.c_str())),
                 left);
        stream.resumedStatus = second.status;
        stream.resumedEvents = countOf(second.body, "id: ");
        recordVersions(stream, second.body);
        note("client: %s taken up after event %zu: status %d, %zu events, then \"%s\"", id.c_str(),
             stream.events, second.status, stream.resumedEvents,
             second.body.substr(0, second.body.find("\n\n")).c_str());
    }
    const std::lock_guard lock(mutex);
    streams[static_cast<std::size_t>(number)] = stream;
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
        sleepMs(isLast ? leaveMs : rollGapMs);
    }
    // The release ends: the replicas of v1 leave without reporting `draining`. Their entries are
    // removed, and they go on serving what they run.
    for (int i = 0; i < 2; ++i) {
        deployment.store.remove("servers", format("i-%d", i));
        note("the entry of i-%d (v1) is removed, it serves on", i);
    }
    for (std::thread &operation : operations) {
        operation.join();
    }
    for (std::thread &client : clients) {
        client.join();
    }
    int takenUp = 0;
    int wentOn = 0;
    int mixed = 0;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        takenUp += streams[i].wasCut ? 1 : 0;
        wentOn += streams[i].resumedEvents > 0 ? 1 : 0;
        if (streams[i].versions.size() > 1) {
            ++mixed;
            note("ORDER: s%zu holds events 1 to %zu of v1 and %zu more of v2", i, streams[i].events,
                 streams[i].resumedEvents);
        }
    }
    const std::string text =
        format("%d streams taken up, %d went on; %d hold events of two software versions", takenUp,
               wentOn, mixed);
    finish(deployment,
           takenUp == 0 ? couldNotRun : mixed > allowedStreams ? ruleBroken : ruleHeld, text);
}
