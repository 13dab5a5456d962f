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

/// Brings the engines of this router's place into the state that the catalogue names. One router
/// of the place looks at a service's engines; the platform's lease says who may give orders.
class OrderService : public std::enable_shared_from_this<OrderService>
{
public:
    OrderService(asio::io_context &context, Node &node, net::HttpClient &http);

    void start();

private:
    /// A service's engines in this place.
    struct Pool
    {
        std::string service;
        EngineOrders wanted;
        LeaseState lease;
        std::vector<EngineStatus> engines;
        std::size_t pendingReadings = 0;
        /// A round of reading, deciding and ordering is under way.
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
    /// This process as a holder of leases.
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
