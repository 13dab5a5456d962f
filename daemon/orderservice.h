#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include "httpclient.h"
#include "platformclient.h"

#include "node.h"

namespace plantainswitch {

/// Brings the engines of this router's data centre into the state (model, version, adapter, role)
/// that the catalogue sets. One router of the data centre checks a service's engines in periodic
/// rounds, and sends orders only while it holds the service's lease at the platform.
class OrderService : public std::enable_shared_from_this<OrderService>
{
public:
    OrderService(asio::io_context &context, Node &node, net::HttpClient &http);

    void start();

private:
    /// A service's engines in this data centre.
    struct Pool
    {
        std::string service;
        EngineOrders wanted;
        LeaseState lease;
        std::vector<EngineStatus> engines;
        std::size_t pendingReadings = 0;
        /// A round is in progress: reading the engines, checking the lease, sending orders.
        bool roundInProgress = false;
        bool converged = false;
    };
    using PoolPointer = std::shared_ptr<Pool>;

    void tick();
    void startRounds();
    void readEngines(const PoolPointer &pool);
    void handleReading(const PoolPointer &pool, std::size_t index, const net::HttpResponse &answer);
    void decideOnLease(const PoolPointer &pool);
    void readLease(const PoolPointer &pool, void (OrderService::*next)(const PoolPointer &));
    void writeLease(const PoolPointer &pool);
    void sendOrders(const PoolPointer &pool);
    void sendOrderTo(const EngineStatus &engine, const PoolPointer &pool, std::uint64_t fencing);
    [[nodiscard]] bool isPoolWatcher(const std::string &service) const;
    [[nodiscard]] std::string leaseName(const std::string &service) const;
    /// \returns the identity of this process as a lease holder.
    [[nodiscard]] std::string holderId() const;

    Node &node;
    net::HttpClient &http;
    net::PlatformClient platform;
    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    LeaseSettings settings;
    std::map<std::string, PoolPointer> pools;
};

} // namespace plantainswitch
