#include "operators.h"

#include <nlohmann/json.hpp>

namespace plantainswitch {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

void respondText(net::HttpResponder &reply, int status, std::string text)
{
    reply.respond(status, {{"content-type", "text/plain; version=0.0.4"}}, std::move(text));
}

void respondJson(net::HttpResponder &reply, int status, const nlohmann::ordered_json &json)
{
    reply.respond(status, {{"content-type", "application/json"}}, json.dump(2) + "\n");
}

void explain(const Node &node, const net::HttpRequest &request, net::HttpResponder &reply)
{
    const auto found = node.explain.find(std::string(request.parameter("request")));
    if (!found) {
        respondJson(reply, statusNotFound, {{"error", "no such request is remembered here"}});
        return;
    }
    respondJson(reply, statusOk, {{"request", found->requestId}, {"steps", found->steps}});
}

void status(const Node &node, net::HttpResponder &reply)
{
    const Heartbeat own = node.heartbeat();
    nlohmann::ordered_json members = nlohmann::ordered_json::array();
    for (const Heartbeat &member : node.members.all()) {
        members.push_back({{"id", member.id},
                           {"place", member.dataCentre},
                           {"catalogueVersion", member.catalogueVersion},
                           {"leaving", member.leaving}});
    }
    respondJson(reply, statusOk,
                {{"id", own.id},
                 {"place", own.dataCentre},
                 {"catalogueVersion", own.catalogueVersion},
                 {"inFlight", node.inFlight.load()},
                 {"slotsKept", node.shardCoordinator.slotCount()},
                 {"stopping", own.leaving},
                 {"members", members}});
}

} // namespace

void serveOperator(Node &node, const net::HttpRequest &request, net::HttpResponder &reply)
{
    if (request.path == "/healthz") {
        respondText(reply, statusOk, "ok\n");
    } else if (request.path == "/readyz") {
        const bool ready =
            !node.stopping && node.catalogue.view() != nullptr && node.upstreams.wasPopulated();
        respondText(reply, ready ? statusOk : statusUnavailable, ready ? "ready\n" : "not ready\n");
    } else if (request.path == "/metrics") {
        respondText(reply, statusOk, node.metrics.render(node.clock.now()));
    } else if (request.path == "/explain") {
        explain(node, request, reply);
    } else if (request.path == "/status") {
        status(node, reply);
    } else {
        respondJson(reply, statusNotFound, {{"error", "no such page"}});
    }
}

} // namespace plantainswitch
