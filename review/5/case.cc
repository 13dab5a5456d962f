// Clients send idempotent requests on a kept channel without waiting for the answers before, as
// HTTP/1.1 lets them. Does each answer stand in the place of its own request?
#include "lab/lab.hh"

using namespace lab;

namespace {

constexpr int clientCount = 10;
constexpr int channelsPerClient = 6;
constexpr int requestsPerChannel = 60;
constexpr std::int64_t workMs = 15;
constexpr std::int64_t intervalMs = 4;

std::atomic<int> foreign = 0;
std::atomic<int> refusedAsBad = 0;
std::atomic<int> right = 0;
std::atomic<int> missing = 0;

bool serve(Replica &replica, const Request &request, Channel &channel)
{
    sleepMs(workMs);
    return channel.send(wholeAnswer(replica, request, "status of " + request.head.target()));
}

std::string requestOf(int client, int channel, int number)
{
    return clientRequest("GET", format("/log/%d/%d/%d", client, channel, number),
                         format("%d-%d-%d", client, channel, number), 1000);
}

/// Compares the answer at the place of a request with it.
void check(const Answer &answer, int client, int channel, int number)
{
    const std::string own = format("status of /log/%d/%d/%d", client, channel, number);
    if (answer.status == 0) {
        ++missing;
    } else if (answer.status == 200 && answer.body == own) {
        ++right;
    } else if (answer.status == 200) {
        ++foreign;
        note("MIXED: the answer to request %d-%d-%d is \"%s\"", client, channel, number,
             answer.body.c_str());
    } else {
        refusedAsBad += answer.status == 400 ? 1 : 0;
        note("client: %d-%d-%d answered %d", client, channel, number, answer.status);
    }
}

void useChannel(const Router &router, int client, int number)
{
    const auto channel = Channel::connect(router.front);
    if (!channel) {
        return;
    }
    if (!hasTrouble()) {
        for (int i = 0; i < requestsPerChannel; ++i) {
            channel->send(requestOf(client, number, i));
            check(readAnswer(*channel, nowMs() + 2000), client, number, i);
        }
        return;
    }
    std::thread sender([&channel, client, number] {
        for (int i = 0; i < requestsPerChannel; ++i) {
            channel->send(requestOf(client, number, i));
            sleepMs(intervalMs);
        }
    });
    for (int i = 0; i < requestsPerChannel && !channel->ended; ++i) {
        check(readAnswer(*channel, nowMs() + 2000), client, number, i);
    }
    sender.join();
}

} // namespace

int main(int count, char **arguments)
{
    openRecord(count, arguments);
    Deployment deployment;
    deployment.store.put(
        "config", "main",
        manifest(7, {plainRoute("r-log", "/log/", "idempotent", "app", 1000, 100, 2)}, {"app"}));
    for (int i = 0; i < 3; ++i) {
        deployment.addReplica(format("i-%d", i), "app", 6, serve);
    }
    if (!deployment.startRouters(2)) {
        finish(deployment, couldNotRun, "the routers didn't become ready");
    }
    std::vector<std::thread> clients;
    for (int client = 0; client < clientCount; ++client) {
        clients.emplace_back([&deployment, client] {
            const Router &router = *deployment.routers[static_cast<std::size_t>(client % 2)];
            for (int number = 0; number < channelsPerClient; ++number) {
                useChannel(router, client, number);
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    const std::string text =
        format("%d answers in their request's place, %d answers of another request, %d proper "
               "requests answered 400, %d without an answer",
               right.load(), foreign.load(), refusedAsBad.load(), missing.load());
    finish(deployment, right == 0 ? couldNotRun : foreign > 0 ? ruleBroken : ruleHeld, text);
}
