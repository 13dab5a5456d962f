// Further findings that are no cases: `probe FOLDER head | pipelined | nested`. Exits with 1 if the
// fault shows, 0 if not, 2 if it couldn't run.
#include "lab/lab.hh"

using namespace lab;

namespace {

bool serve(Replica &replica, const Request &request, Channel &channel)
{
    sleepMs(15);
    const std::string body = "status of " + request.head.target();
    std::string answer = wholeAnswer(replica, request, body);
    if (request.head.method() == "HEAD") {
        answer.resize(answer.size() - body.size());
    }
    return channel.send(answer);
}

/// Some clients send HEAD, then others send GET, each after the answer before.
int probeHead(Deployment &deployment, std::string &text)
{
    const Address &front = deployment.routers.front()->front;
    int empty = 0;
    int count = 0;
    for (int round = 0; round < 20; ++round) {
        for (const char *const method : {"HEAD", "GET"}) {
            const std::string path = format("/log/%d", round);
            const auto channel = Channel::connect(front);
            channel->send(clientRequest(method, path, format("%s-%d", method, round), 1000));
            const Answer answer = readAnswer(*channel, nowMs() + 2000, method[0] == 'H');
            if (method[0] == 'G' && answer.status == 200) {
                ++count;
                empty += answer.body == "status of " + path ? 0 : 1;
                note("GET %s: 200, body \"%s\"", path.c_str(), answer.body.c_str());
            }
        }
    }
    text = format("%d of %d answers 200 to GET haven't the replica's body", empty, count);
    return empty > 0 ? ruleBroken : ruleHeld;
}

/// Clients send GET after GET on a channel without waiting for the answers.
int probePipelined(Deployment &deployment, std::string &text)
{
    std::atomic<int> foreign = 0;
    std::atomic<int> right = 0;
    std::vector<std::thread> clients;
    for (int client = 0; client < 10; ++client) {
        clients.emplace_back([&, client] {
            const auto channel = Channel::connect(deployment.routers.front()->front);
            std::thread sender([&channel, client] {
                for (int i = 0; i < 200; ++i) {
                    channel->send(clientRequest("GET", format("/log/%d/%d", client, i),
                                                format("%d-%d", client, i), 1000));
                    sleepMs(4);
                }
            });
            for (int i = 0; i < 200 && !channel->ended; ++i) {
                const Answer answer = readAnswer(*channel, nowMs() + 2000);
                const bool isOwn = answer.body == format("status of /log/%d/%d", client, i);
                (answer.status == 200 && !isOwn ? foreign : right) += answer.status == 200 ? 1 : 0;
                if (answer.status != 200 || !isOwn) {
                    note("request %d-%d: %d, body \"%s\"", client, i, answer.status,
                         answer.body.c_str());
                }
            }
            sender.join();
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    text = format("%d answers in their request's place, %d of another request", right.load(),
                  foreign.load());
    return foreign > 0 ? ruleBroken : ruleHeld;
}

/// Another writer's entry holds arrays that are nested 200,000 deep (400 kB).
int probeNested(Deployment &deployment, std::string &text)
{
    constexpr int depth = 200'000;
    deployment.store.rawSpecs["x-7c1"] =
        "{\"service\":" + std::string(depth, '[') + std::string(depth, ']') + "}";
    deployment.store.put("servers", "x-7c1", "of another writer");
    sleepMs(3000);
    const auto end = deployment.routers.front()->ended();
    text = "the router " + (end ? "has ended with " + *end : std::string("runs"));
    return end ? ruleBroken : ruleHeld;
}

} // namespace

int main(int count, char **arguments)
{
    openRecord(count, arguments);
    const std::string mode = count > 2 ? arguments[2] : "";
    Deployment deployment;
    deployment.store.put(
        "config", "main",
        manifest(7, {plainRoute("r-log", "/log/", "idempotent", "app", 1000, 100, 2)}, {"app"}));
    for (int i = 0; i < 3; ++i) {
        deployment.addReplica(format("i-%d", i), "app", 6, serve);
    }
    if (!deployment.startRouters(1)) {
        finish(deployment, couldNotRun, "the router didn't become ready");
    }
    std::string text = "no such probe";
    const int status = mode == "head"        ? probeHead(deployment, text)
                       : mode == "pipelined" ? probePipelined(deployment, text)
                       : mode == "nested"    ? probeNested(deployment, text)
                                             : couldNotRun;
    finish(deployment, status, text);
}
