#include "blockingplatformclient.h"

#include <future>

namespace plantainswitch::ctl {

using net::PlatformResponse;

BlockingPlatformClient::BlockingPlatformClient(const std::string &url)
    : guard(asio::make_work_guard(context))
    , http(context)
    , client(http, url)
    , worker([this] { this->context.run(); })
{}

BlockingPlatformClient::~BlockingPlatformClient()
{
    this->context.stop();
    this->worker.join();
}

PlatformResponse BlockingPlatformClient::get(const EntryKey &key)
{
    std::promise<PlatformResponse> promise;
    this->client.get(std::string(nameOf(key.kind)), key.name,
                     [&promise](PlatformResponse answer) { promise.set_value(std::move(answer)); });
    return promise.get_future().get();
}

PlatformResponse BlockingPlatformClient::put(const EntryKey &key, std::uint64_t ifVersion,
                                             const nlohmann::json &body)
{
    std::promise<PlatformResponse> promise;
    this->client.put(std::string(nameOf(key.kind)), key.name, ifVersion, body,
                     [&promise](PlatformResponse answer) { promise.set_value(std::move(answer)); });
    return promise.get_future().get();
}

PlatformResponse BlockingPlatformClient::remove(const EntryKey &key, std::uint64_t ifVersion)
{
    std::promise<PlatformResponse> promise;
    this->client.remove(
        std::string(nameOf(key.kind)), key.name, ifVersion,
        [&promise](PlatformResponse answer) { promise.set_value(std::move(answer)); });
    return promise.get_future().get();
}

std::optional<net::PlatformChanges> BlockingPlatformClient::list(const std::string &kinds)
{
    std::promise<std::optional<net::PlatformChanges>> promise;
    this->client.listChanges(kinds, 0, std::chrono::milliseconds(0),
                             [&promise](auto answer) { promise.set_value(std::move(answer)); });
    return promise.get_future().get();
}

} // namespace plantainswitch::ctl
