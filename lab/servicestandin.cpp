#include "servicestandin.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace plantainswitch::lab {

std::uint64_t RunCounts::add(const Run &run)
{
    const std::lock_guard lock(this->mutex);
    this->runs.push_back(run);
    return ++this->counts[run.key];
}

std::vector<Run> RunCounts::all() const
{
    const std::lock_guard lock(this->mutex);
    return this->runs;
}

std::uint64_t RunCounts::highest() const
{
    const std::lock_guard lock(this->mutex);
    std::uint64_t most = 0;
    for (const auto &[key, count] : this->counts) {
        most = std::max(most, count);
    }
    return most;
}

std::size_t RunCounts::keys() const
{
    const std::lock_guard lock(this->mutex);
    return this->counts.size();
}

void ServiceOrders::letGo()
{
    std::vector<std::function<void()>> ready;
    {
        const std::lock_guard lock(this->mutex);
        this->held = false;
        ready.swap(this->waiting);
    }
    for (const auto &send : ready) {
        send();
    }
}

bool ServiceOrders::keep(std::function<void()> send)
{
    const std::lock_guard lock(this->mutex);
    if (!this->held) {
        return false;
    }
    this->waiting.push_back(std::move(send));
    return true;
}

bool ServiceOrders::take(std::atomic<int> &left)
{
    int now = left;
    while (now > 0) {
        if (left.compare_exchange_weak(now, now - 1)) {
            return true;
        }
    }
    return false;
}

namespace {

/// Writes chunks until the caller closes the connection.
void writeWithoutEnd(const std::shared_ptr<net::HttpResponder> &reply)
{
    constexpr std::size_t chunkSize = 1 << 20;
    reply->write(std::string(chunkSize, 'a'), [reply](bool isWritten) {
        if (isWritten) {
            writeWithoutEnd(reply);
        }
    });
}

void serveOrder(const std::string &replica, RunCounts &counts, ServiceOrders &orders,
                const net::HttpRequest &request, const std::shared_ptr<net::HttpResponder> &reply)
{
    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;
    if (orders.takeRefusal()) {
        reply->respond(statusUnavailable, {{"x-ran", "no"}}, "refused");
        return;
    }
    const std::string key(request.header("idempotency-key"));
    std::string id(request.header("x-request-id"));
    const nlohmann::json answer{{"replica", replica},
                                {"key", key},
                                {"run", key.empty() ? 0 : counts.add({key, id})},
                                {"target", request.path + request.rawQuery},
                                {"echo", request.body}};
    if (orders.takeDrop()) {
        reply->start(statusOk, {});
        reply->abort();
        return;
    }
    if (orders.takeEndless()) {
        reply->start(statusOk, {{"x-request-id", id}});
        writeWithoutEnd(reply);
        return;
    }
    net::Headers fields{{"content-type", "application/json"}};
    if (orders.takeEncoding()) {
        fields["content-encoding"] = "gzip";
    }
    if (orders.takeConfusion()) {
        id += "-other";
    }
    fields["x-request-id"] = id;
    const auto send = [reply, answer, fields] { reply->respond(statusOk, fields, answer.dump()); };
    if (!orders.keep(send)) {
        send();
    }
}

} // namespace

ServiceStandIn::ServiceStandIn(asio::io_context &context, const Vm &vm,
                               std::shared_ptr<RunCounts> counts,
                               std::shared_ptr<ServiceOrders> orders)
    : server(std::make_unique<net::HttpServer>(
        context, net::HttpServerOptions{vm.endpoint.host, vm.endpoint.port},
        [counts = std::move(counts), orders = std::move(orders), id = vm.id](
            const net::HttpRequest &request, const std::shared_ptr<net::HttpResponder> &reply) {
            serveOrder(id, *counts, *orders, request, reply);
        }))
{}

} // namespace plantainswitch::lab
