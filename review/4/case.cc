// A release is under way: one replica of the old software version is left. It falls silent for a
// second while a router is being stopped. Do its streams end whole?
#include "lab/lab.hh"

using namespace lab;

namespace {

constexpr int streamsPerRouter = 20;
constexpr int eventCount = 70;
constexpr std::int64_t eventIntervalMs = 60;
/// "A sound replica may fall silent for a second or so and go on".
constexpr std::int64_t silenceMs = 1000;
constexpr std::int64_t budgetMs = 15'000;

struct Stream
{
    std::string router;
    std::string replica;
    int runs = 0;
    bool whole = false;
    int status = 0;
    std::size_t events = 0;
    std::int64_t endedAt = 0;
};

std::mutex mutex;
std::map<std::string, Stream> streams;
std::atomic<std::int64_t> silentUntil = 0;

std::string chunk(const std::string &bytes)
{
    return format("%zx\r\n", bytes.size()) + bytes + "\r\n";
}

bool serve(Replica &replica, const Request &request, Channel &channel)
{
    const std::string after = request.head.get("Last-Event-Id");
    const int first = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
    {
        const std::lock_guard lock(mutex);
        Stream &stream = streams[request.id()];
        stream.replica = replica.id;
        ++stream.runs;
        note("%s runs %s from event %d", replica.id.c_str(), request.id().c_str(), first);
    }
    channel.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id()
                 + "\r\nX-Server-Stamp: " + replica.stamp()
                 + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const bool mayFallSilent = replica.version == "v1";
    for (int i = first; i <= eventCount; ++i) {
        sleepMs(eventIntervalMs);
        while (mayFallSilent && nowMs() < silentUntil) {
            sleepMs(2);
        }
        const std::string event =
            format("id: %d\ndata: event %d of %s\n\n", i, i, request.id().c_str());
        if (!channel.send(chunk(event))) {
            note("%s: the router has closed the channel of %s", replica.id.c_str(),
                 request.id().c_str());
            return false;
        }
    }
    note("%s has ended %s", replica.id.c_str(), request.id().c_str());
    return channel.send("0\r\n\r\n");
}

void readStream(const Router &router, int number)
{
    const std::string id = format("%s-s%d", router.name.c_str(), number);
    const std::string head =
        "POST /sum/1 HTTP/1.1\r\nHost: " + hostName + "\r\nX-Attempt-Id: " + id
        + "\r\nX-Time-Budget: " + std::to_string(budgetMs) + "\r\nAuthorization: Bearer " + apiKey
        + "\r\nX-Model: m\r\nX-Token-Count: 713,210\r\nX-Prompt-Prefix: 5c1e07a2:103,"
        + format("%x:500,%x:110", 0x91bd0000 + number % 4, 0xe4400000 + number)
        + "\r\nContent-Length: 4\r\n\r\nbody";
    const auto channel = Channel::connect(router.front);
    Answer answer;
    if (channel && channel->send(head)) {
        answer = readAnswer(*channel, nowMs() + budgetMs);
    }
    std::size_t events = 0;
    for (auto at = answer.body.find("id: "); at != std::string::npos;
         at = answer.body.find("id: ", at + 1)) {
        ++events;
    }
    const std::lock_guard lock(mutex);
    Stream &stream = streams[id];
    stream.router = router.name;
    stream.status = answer.status;
    stream.whole = answer.whole && events == eventCount;
    stream.events = events;
    stream.endedAt = nowMs();
    note("client: %s status %d, %zu of %d events, %s", id.c_str(), answer.status, events,
         eventCount, stream.whole ? "whole" : "the channel ended without the rest");
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
    deployment.addReplica("i-old", "llm", 48, serve, "v1");
    deployment.addReplica("i-new", "llm", 48, serve, "v2");
    if (!deployment.startRouters(2)) {
        finish(deployment, couldNotRun, "the routers didn't become ready");
    }
    std::vector<std::thread> clients;
    for (int i = 0; i < streamsPerRouter; ++i) {
        for (const auto &router : deployment.routers) {
            clients.emplace_back([&router, i] { readStream(*router, i); });
        }
    }
    sleepMs(1000);
    Router &stopped = *deployment.routers.front();
    stopped.kill(SIGTERM);
    const std::int64_t signalledAt = nowMs();
    note("SIGTERM to %s", stopped.name.c_str());
    sleepMs(500);
    if (hasTrouble()) {
        silentUntil = nowMs() + silenceMs;
        note("i-old falls silent for %lld ms", static_cast<long long>(silenceMs));
    }
    for (std::thread &client : clients) {
        client.join();
    }
    int atOld = 0;
    int cut = 0;
    int cutElsewhere = 0;
    int newWhole = 0;
    for (const auto &[id, stream] : streams) {
        const bool isOld = stream.replica == "i-old";
        atOld += isOld && stream.router == stopped.name ? 1 : 0;
        newWhole += !isOld && stream.whole ? 1 : 0;
        if (isOld && !stream.whole) {
            (stream.router == stopped.name ? cut : cutElsewhere) += 1;
            note("LOST: %s, %zu events, ended %lld ms after the SIGTERM", id.c_str(), stream.events,
                 static_cast<long long>(stream.endedAt - signalledAt));
        }
    }
    const std::string text = format(
        "%d of the %d streams that the stopped router had passed on to i-old ended without a "
        "complete answer (and %d at the other router); %d streams of i-new are whole",
        cut, atOld, cutElsewhere, newWhole);
    finish(deployment, atOld == 0 ? couldNotRun : cut > 0 ? ruleBroken : ruleHeld, text);
}
