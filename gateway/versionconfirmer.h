#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gatewaystate.h"
#include "sequentialhttpclient.h"
#include "versionrecorder.h"

namespace plantainswitch::gateway {

/// Finds the version of streams whose origin no router knows. There is one if the store's record
/// states that all streams which callers may take up began at the same version, and neither this
/// router nor the store's list shows another one.
class VersionConfirmer
{
public:
    using Handler = std::function<void(std::optional<VersionKey>)>;

    explicit VersionConfirmer(GatewayState &gateway)
        : gateway(gateway)
        , client(gateway)
    {}

    /// Finds the only version of \a service since \a since, as of calls to the store that start
    /// after this one. \a done is called once; with nothing if there was another version, or may
    /// have been one, or if the store does not respond. Waiting requests share the calls.
    void confirm(const std::string &service, TimePoint since, Handler done);
    void stop();

private:
    struct Waiter
    {
        std::string service;
        TimePoint since;
        Handler done;
    };

    using Records = std::map<std::uint64_t, VersionRecord>;

    /// Reads the records, then the changes of the list of upstreams.
    void call();
    void readChanges(const Records &records);
    void finish(const Records &records, const std::optional<StoreResponse> &changes);
    /// \returns whether no change that the router does not know yet adds another version.
    [[nodiscard]] bool agrees(const StoreResponse &changes, const std::string &service,
                              VersionKey version) const;

    GatewayState &gateway;
    SequentialHttpClient client;
    /// Requests of the running call, and of the next one.
    std::vector<Waiter> calling;
    std::vector<Waiter> waiting;
};

} // namespace plantainswitch::gateway
