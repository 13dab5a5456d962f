#include "blockingplatformclient.h"

#include <future>

namespace plantainswitch::ctl {

using net::PlatformAnswer;

PlatformCalls::PlatformCalls(const std::string &url)
    : guard(asio::make_work_guard(context))
    , http(context)
    , client(http, url)
    , worker([this] { this->context.run(); })
{}

PlatformCalls::~PlatformCalls()
{
    this->context.stop();
    this->worker.join();
}

PlatformAnswer PlatformCalls::get(const EntryKey &key)
{
    std::promise<PlatformAnswer> answer;
    this->client.get(std::string(nameOf(key.kind)), key.name,
                     [&answer](PlatformAnswer got) { answer.set_value(std::move(got)); });
    return answer.get_future().get();
}

PlatformAnswer PlatformCalls::put(const EntryKey &key, std::uint64_t ifVersion,
                                  const nlohmann::json &body)
{
    std::promise<PlatformAnswer> answer;
    this->client.put(std::string(nameOf(key.kind)), key.name, ifVersion, body,
                     [&answer](PlatformAnswer got) { answer.set_value(std::move(got)); });
    return answer.get_future().get();
}

PlatformAnswer PlatformCalls::remove(const EntryKey &key, std::uint64_t ifVersion)
{
    std::promise<PlatformAnswer> answer;
    this->client.remove(std::string(nameOf(key.kind)), key.name, ifVersion,
                        [&answer](PlatformAnswer got) { answer.set_value(std::move(got)); });
    return answer.get_future().get();
}

std::optional<net::PlatformChanges> PlatformCalls::list(const std::string &kinds)
{
    std::promise<std::optional<net::PlatformChanges>> answer;
    this->client.changes(kinds, 0, std::chrono::milliseconds(0),
                         [&answer](auto got) { answer.set_value(std::move(got)); });
    return answer.get_future().get();
}

} // namespace plantainswitch::ctl
