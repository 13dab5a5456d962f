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
    std::promise<PlatformResponse> answer;
    this->client.get(std::string(nameOf(key.kind)), key.name,
                     [&answer](PlatformResponse got) { answer.set_value(std::move(got)); });
    return answer.get_future().get();
}

PlatformResponse BlockingPlatformClient::put(const EntryKey &key, std::uint64_t ifVersion,
                                           const nlohmann::json &body)
{
    std::promise<PlatformResponse> answer;
    this->client.put(std::string(nameOf(key.kind)), key.name, ifVersion, body,
                     [&answer](PlatformResponse got) { answer.set_value(std::move(got)); });
    return answer.get_future().get();
}

PlatformResponse BlockingPlatformClient::remove(const EntryKey &key, std::uint64_t ifVersion)
{
    std::promise<PlatformResponse> answer;
    this->client.remove(std::string(nameOf(key.kind)), key.name, ifVersion,
                        [&answer](PlatformResponse got) { answer.set_value(std::move(got)); });
    return answer.get_future().get();
}

std::optional<net::PlatformChanges> BlockingPlatformClient::list(const std::string &kinds)
{
    std::promise<std::optional<net::PlatformChanges>> answer;
    this->client.listChanges(kinds, 0, std::chrono::milliseconds(0),
                             [&answer](auto got) { answer.set_value(std::move(got)); });
    return answer.get_future().get();
}

} // namespace plantainswitch::ctl
