#include "servicestandin.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace plantainswitch::lab {

std::uint64_t RunCounts::add(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    return ++this->runs[key];
}

std::uint64_t RunCounts::highest() const
{
    const std::lock_guard lock(this->mutex);
    std::uint64_t most = 0;
    for (const auto &[key, count] : this->runs) {
        most = std::max(most, count);
    }
    return most;
}

std::size_t RunCounts::keys() const
{
    const std::lock_guard lock(this->mutex);
    return this->runs.size();
}

ServiceStandIn::ServiceStandIn(asio::io_context &context, const Vm &vm,
                               std::shared_ptr<RunCounts> counts)
    : server(std::make_unique<net::HttpServer>(
        context, net::HttpServerOptions{vm.endpoint.host, vm.endpoint.port},
        [counts = std::move(counts), id = vm.id](const net::HttpRequest &request,
                                                 const std::shared_ptr<net::HttpReply> &reply) {
            constexpr int statusOk = 200;
            const std::string key(request.header("idempotency-key"));
            const nlohmann::json answer{{"replica", id},
                                        {"key", key},
                                        {"run", key.empty() ? 0 : counts->add(key)},
                                        {"echo", request.body}};
            reply->respond(statusOk,
                           {{"content-type", "application/json"},
                            {"x-request-id", std::string(request.header("x-request-id"))}},
                           answer.dump());
        }))
{}

} // namespace plantainswitch::lab
