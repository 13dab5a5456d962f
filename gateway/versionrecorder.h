#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "plantainswitch/routing/versionrecord.h"

#include "gatewaystate.h"
#include "sequentialhttpclient.h"

namespace plantainswitch::gateway {

/// \returns the records in the store's response to a list of them, by service; nothing if it is no
/// complete list.
[[nodiscard]] std::optional<std::map<std::uint64_t, VersionRecord>>
parseVersionRecords(const Dialect &dialect, const CallReply &reply);

/// Keeps the store's records of the services' software versions as this router's list of upstreams
/// shows them.
class VersionRecorder
{
public:
    explicit VersionRecorder(GatewayState &gateway)
        : gateway(gateway)
        , client(gateway)
        , startedAt(gateway.clock.now())
    {}

    /// Writes a record that has to change, one after the other.
    /// \param isRecorder whether this router is to write records; a few routers suffice, and they
    /// may write at the same time
    void update(bool isRecorder);
    void stop() { this->client.cancel(); }

private:
    void read();
    void write(const VersionRecord &record);
    [[nodiscard]] ListedVersions listedVersionsOf(const std::string &service) const;

    GatewayState &gateway;
    SequentialHttpClient client;
    /// The store's records; nothing until they are read.
    std::optional<std::map<std::uint64_t, VersionRecord>> stored;
    /// The versions that were listed when the records were read. After a change they are read
    /// again: another router may have changed them, too.
    std::map<std::string, std::set<VersionKey>> listedWhenRead;
    TimePoint startedAt;
    TimePoint pausedUntil;
};

} // namespace plantainswitch::gateway
