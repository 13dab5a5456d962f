#pragma once

#include <memory>

#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include "platformclient.h"

#include "node.h"

namespace plantainswitch {

/// Publishes for `plantainctl status` which catalogue version the routers of this data centre have
/// in force. The first watcher of the data centre writes one small platform object, only when it
/// changes.
class StatusWriter : public std::enable_shared_from_this<StatusWriter>
{
public:
    StatusWriter(asio::io_context &context, Node &node, net::HttpClient &http);

    void start();

private:
    void schedule();
    void writeIfChanged();
    void handleResponse(const net::PlatformResponse &answer, const nlohmann::json &body);
    [[nodiscard]] bool isFirstWatcher() const;
    [[nodiscard]] nlohmann::json body() const;

    Node &node;
    net::PlatformClient platform;
    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    nlohmann::json lastWritten;
    std::uint64_t version = 0;
    bool writeInFlight = false;
};

} // namespace plantainswitch
