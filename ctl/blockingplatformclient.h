#pragma once

#include <optional>
#include <string>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "plantainswitch/plantainswitch.h"
#include "platformclient.h"

namespace plantainswitch::ctl {

/// Client of the platform's object API whose calls block until the answer.
class BlockingPlatformClient
{
public:
    explicit BlockingPlatformClient(const std::string &url);
    ~BlockingPlatformClient();
    BlockingPlatformClient(const BlockingPlatformClient &) = delete;
    BlockingPlatformClient &operator=(const BlockingPlatformClient &) = delete;

    net::PlatformResponse get(const EntryKey &key);
    net::PlatformResponse put(const EntryKey &key, std::uint64_t ifVersion,
                              const nlohmann::json &body);
    net::PlatformResponse remove(const EntryKey &key, std::uint64_t ifVersion);
    /// \returns all objects of \a kinds, a comma-separated list, or nothing when the platform can't
    /// be reached.
    std::optional<net::PlatformChanges> list(const std::string &kinds);

private:
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    net::HttpClient http;
    net::PlatformClient client;
    std::thread worker;
};

} // namespace plantainswitch::ctl
