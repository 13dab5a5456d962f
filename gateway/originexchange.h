#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <asio/steady_timer.hpp>

#include "peer.pb.h"

#include "plantainswitch/routing/originconfirmation.h"
#include "plantainswitch/routing/originhandover.h"
#include "plantainswitch/routing/originsearch.h"
#include "plantainswitch/routing/routercontacts.h"

#include "gatewaystate.h"
#include "originstore.h"

namespace plantainswitch::gateway {

/// How the origin of a stream was found.
struct OriginResult
{
    std::optional<VersionKey> version;
    /// Routers that were asked; 0 if this one knew the origin.
    std::size_t asked = 0;
};

/// Exchanges the origins of streams with the other routers: reports those of this router's callers,
/// keeps those of others, and asks for unknown ones.
class OriginExchange
{
public:
    using Sender = std::function<void(const Endpoint &, const wire::GatewayDatagram &)>;

    /// \param own the process of this router
    OriginExchange(GatewayState &gateway, const RouterContacts &contacts, RouterProcess own,
                   Sender send);

    /// Records the origin of a stream that a caller of this router has received events of, and
    /// reports it to the other routers.
    void announce(StreamOrigin origin);
    /// Announces an origin and has it confirmed by a witness, or by the store if none responds.
    /// \a done is called once, with whether that succeeded within originConfirmationDeadline.
    void announceConfirmed(const StreamOrigin &origin, std::function<void(bool)> done);
    /// \returns whether streams may begin whose origins have to be confirmed: witnesses or the
    /// store respond, or there are no witnesses.
    [[nodiscard]] bool areOriginsConfirmed() const;
    /// Passes the origins of streams that callers may still take up on to a router that has just
    /// started, or was out of reach.
    void passOnTo(const Endpoint &joining);
    /// Passes the origins of this router's callers' streams on, because it stops.
    void passOnAll();
    /// Finds the origin of a stream. \a done is called once, within the time of maxOriginRounds.
    void find(StreamKey stream, std::function<void(const OriginResult &)> done);
    /// Finds the origin of a stream that no router knows in the store. \a done is called once.
    void findInStore(StreamKey stream, std::function<void(const OriginResult &)> done);
    void stop();
    /// Sends the origins that were announced since the last call to the routers of other data
    /// centres that keep copies, and forgets expired ones.
    void tick();
    /// Adds \a origins to an update.
    void append(wire::RouterNews &message, const std::vector<StreamOrigin> &origins) const;

    /// Applies the origins that another router reports in its updates.
    void onOrigins(const google::protobuf::RepeatedPtrField<wire::StreamOrigins> &reported);
    /// Applies a report, and confirms it if its sender waits for that.
    void onReport(const wire::OriginReport &message, const Endpoint &from);
    void onConfirmation(const wire::OriginConfirmation &message);
    void onAsk(const wire::OriginAsk &message, const Endpoint &from);
    void onReply(const wire::OriginReply &message, const Endpoint &from);

private:
    struct PendingSearch
    {
        OriginSearch search;
        std::function<void(const OriginResult &)> done;
        std::unique_ptr<asio::steady_timer> timer;
    };

    struct Unconfirmed
    {
        std::function<void(bool)> done;
        /// The store is being asked to record the origin.
        bool isAtStore = false;
    };

    /// \returns whether witnesses confirm the origins of this router's streams.
    [[nodiscard]] bool areWitnessesResponding() const;
    /// Sends the requests for confirmation that are due, and gives up those that have expired.
    void confirmDue();
    void confirmAtStore(const ConfirmationRequest &request);
    void finishConfirmation(std::uint64_t number, bool isConfirmed);
    /// While no witness responds, asks witnesses and the store whether they do.
    void probeWitnesses();
    /// Sends \a origins in as many datagrams as they need.
    void report(const Endpoint &receiver, const std::vector<StreamOrigin> &origins);
    void ask(std::uint64_t number);
    void finish(std::uint64_t number, std::optional<VersionKey> version);

    GatewayState &gateway;
    const RouterContacts &contacts;
    RouterProcess own;
    Sender send;
    /// Origins that were not yet sent to the routers that keep copies.
    std::map<Endpoint, std::vector<StreamOrigin>> unsent;
    std::unordered_map<std::uint64_t, PendingSearch> searches;
    std::uint64_t lastNumber = 0;
    OriginConfirmations confirmations;
    std::unordered_map<std::uint64_t, Unconfirmed> unconfirmed;
    OriginStore store;
    asio::steady_timer confirmationTimer;
    bool wereResponding = true;
    /// Probes of the witnesses since the start.
    std::size_t probes = 0;
};

} // namespace plantainswitch::gateway
