#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/membership/vm.h"
#include "plantainswitch/routing/originconfirmation.h"
#include "plantainswitch/routing/streamorigin.h"

namespace plantainswitch {

/// Minimum interval between updates to one router. Requests last some hundred milliseconds, so that
/// older loads would say little about the current ones.
inline constexpr Milliseconds gossipInterval{100};
/// Number of routers, of the own data centre and of all others, above which the interval grows in
/// proportion, so that the traffic of a router stays constant: 60 datagrams per second in each
/// direction, together a twentieth of a 10 Mbit/s link. Routers of the own data centre get updates
/// sooner, because coordinators and watchers are among them.
inline constexpr std::size_t maxFastLocalRouters = 6;
inline constexpr std::size_t maxFastRemoteRouters = 6;
/// Three updates of a router in the own data centre fit into peerTimeout, so that one lost datagram
/// has no effect.
inline constexpr Milliseconds maxLocalInterval{500};
inline constexpr Milliseconds maxRemoteInterval{5000};
/// Consecutive updates that must be missed before a router counts as failed. With a timeout of one
/// interval, each lost datagram removed members whose return was broadcast at once: 240 routers
/// sent 1 MB/s each and lost more and more of it.
inline constexpr int maxMissedUpdates = 3;
/// Interval between updates to an address that doesn't respond: another router may start there.
inline constexpr Milliseconds unresponsiveInterval{2000};
/// Maximum update interval at which a router can confirm to others what the store holds.
inline constexpr Milliseconds maxConfirmerInterval{200};
/// Copies of a stream's origin in other data centres whose routers get updates more rarely than
/// each maxConfirmerInterval. With two, one router may be lost together with the stream's own.
inline constexpr std::size_t originCopies = 2;
/// Routers that are asked for the origin of a stream, of the own data centre where updates between
/// data centres are rare, or of all.
inline constexpr std::size_t maxLocalOriginSources = 4;
inline constexpr std::size_t maxOriginSources = 12;
/// Routers of a data centre that watch the store: the first one, and a standby that continues while
/// the failure of the first is not yet detected.
inline constexpr std::size_t storeWatchersPerDataCentre = 2;
/// Time without updates after which an address is removed unless the settings name it; longer than
/// network partitions between data centres last. Each restart of a VM may bring a new address; if
/// the old ones were kept, they would be sent updates indefinitely.
inline constexpr Seconds contactRetention{3600};

/// How long a router that does not respond counts among those of its data centre of which a
/// majority is required.
inline constexpr Seconds majorityRetention{60};

/// Which routers an update is sent to.
enum class BroadcastScope : std::uint8_t {
    /// Routers whose interval has elapsed.
    Due,
    /// Also all routers of the own data centre: something changed that they wait for.
    Local,
    /// Also all routers that are alive.
    All,
};

/// Routers whose last update was sent at the same time, so that they get the same next one.
struct UpdateGroup
{
    /// When it was sent; the clock's epoch if never.
    TimePoint lastSent;
    std::vector<Endpoint> routers;
    /// Their updates carry the origins of streams.
    bool carriesOrigins = false;
};

/// State of another router, by address.
struct RouterContact
{
    std::string id;
    /// Start time of the process.
    std::uint64_t incarnation = 0;
    /// Data centre.
    std::string dataCentre;
    /// When an update last arrived from there; before the first one, when the address was added.
    TimePoint lastSeen;
    TimePoint lastSent;
    bool isMember = false;
    /// The settings name the address.
    bool isSeed = false;
    std::uint64_t configVersion = 0;
    /// Number of routers from which it receives updates.
    std::size_t aliveRouters = 0;
    /// Store revision of the newest upstream change that it knows.
    std::uint64_t storeRevision = 0;
    /// When the store last confirmed to it that its configuration, or its list of upstreams, is
    /// current.
    TimePoint configConfirmed;
    TimePoint upstreamsConfirmed;
    /// Store revision of the evacuations that it knows, and when the store last confirmed them to
    /// it.
    std::uint64_t evacuationsRevision = 0;
    TimePoint evacuationsConfirmed;
    /// It is connected to the store.
    bool storeConnected = false;
    bool stopping = false;
    /// It processes requests that other routers forward to it.
    bool acceptsForwards = false;
    /// It keeps the origins of streams that others report, and replies to questions for them.
    bool keepsOrigins = false;
    /// It confirms the origins that are reported to it.
    bool confirmsOrigins = false;
    /// Hashes of the names of the services that it is cut off from.
    std::set<std::uint64_t> unreachableServices;
};

/// A request that is to be forwarded to another router.
struct ForwardQuery
{
    /// Hash of the service's name.
    std::uint64_t service = 0;
    /// Hash of the request, by which the requests spread over the routers.
    std::uint64_t request = 0;
    /// \returns whether the request may be sent to a data centre. May be empty.
    std::function<bool(const std::string &)> isPermitted;
    /// Hosts of the routers that were tried.
    std::vector<std::string> tried;
};

/// Which origins of streams a router is to keep.
enum class OriginShare : std::uint8_t {
    None,
    /// Those that it holds for another data centre.
    Held,
    /// All of its data centre, or of a small fleet.
    All,
};

/// The live routers by which is decided what origins this one passes on to a router that joins. All
/// but the processes are hashes of the routers' ids.
struct OriginPeers
{
    std::uint64_t own = 0;
    std::uint64_t joining = 0;
    OriginShare joiningKeeps = OriginShare::None;
    std::set<RouterProcess> alive;
    /// Others that keep the same origins as this router.
    std::vector<std::uint64_t> senders;
    /// Others that hold copies for this data centre.
    std::vector<std::uint64_t> holders;
};

/// State of the updates from the routers of another data centre.
struct DataCentreContact
{
    /// When the last update arrived.
    TimePoint lastSeen;
    /// Expected time between two updates of any of them.
    Duration updateInterval{0};
};

/// Membership of the router fleet: the other routers' addresses, when updates are due to them, and
/// the assignment of roles that only one or a few routers have.
class RouterContacts
{
public:
    /// \param id name of this router
    /// \param dataCentre its data centre
    RouterContacts(std::string id, std::string dataCentre)
        : id(std::move(id))
        , dataCentre(std::move(dataCentre))
    {}

    /// Adds an address unless it is known.
    void add(const Endpoint &address, TimePoint now);
    /// Adds an address that is never removed: through it, routers meet again after a long
    /// partition.
    void addSeed(const Endpoint &address, TimePoint now);
    /// Records that an update arrived from \a address.
    /// \returns its contact, to be updated with the contents.
    RouterContact &recordReceived(const Endpoint &address, TimePoint now);
    /// \returns the routers to which updates are to be sent now, and records that they are.
    std::vector<UpdateGroup> takeDueGroups(BroadcastScope scope, TimePoint now);
    /// Records that an update is sent to \a address now.
    void recordSent(const Endpoint &address, TimePoint now);
    /// Marks routers without recent updates as failed. \returns their ids.
    std::vector<std::string> removeFailed(TimePoint now);
    /// Removes addresses without updates for contactRetention.
    void removeUnresponsive(TimePoint now);

    /// \returns what is known of the router at \a address, or nullptr.
    [[nodiscard]] const RouterContact *find(const Endpoint &address) const
    {
        const auto found = this->contacts.find(address);
        return found == this->contacts.end() ? nullptr : &found->second;
    }
    [[nodiscard]] std::size_t size() const noexcept { return this->contacts.size(); }
    /// \returns the number of other routers that are alive.
    [[nodiscard]] std::size_t aliveCount(TimePoint now) const;
    /// \returns whether the router at \a address receives updates from fewer than \a alive routers,
    /// so that it may lack their addresses.
    [[nodiscard]] bool lacksAddresses(const Endpoint &address, std::size_t alive) const;
    /// \returns the state of the updates from the live routers of each other data centre.
    [[nodiscard]] std::map<std::string, DataCentreContact> otherDataCentres(TimePoint now) const;
    /// \returns the number of routers of this data centre that have sent an update after \a since.
    [[nodiscard]] std::size_t localRoutersSeenSince(TimePoint since) const;
    /// \returns the maximum interval between two updates to one router.
    [[nodiscard]] Milliseconds maxInterval() const;
    /// \returns all known addresses from which updates of \a router arrived.
    [[nodiscard]] std::vector<Endpoint> addressesOf(const std::string &router) const;
    /// \returns when an update of \a router last arrived; the clock's epoch if never.
    [[nodiscard]] TimePoint lastSeen(const std::string &router) const;
    /// \returns whether a router with a connection to the store is alive.
    [[nodiscard]] bool isWatcherAlive(TimePoint now) const;
    /// \returns the rank of this router among those that watch the store for its data centre, 0 for
    /// the first one; nothing if it is none of them.
    [[nodiscard]] std::optional<std::size_t> watchRank(TimePoint now) const;
    /// \returns whether this router is the designated one of the fleet for \a key, which takes an
    /// action that only one router may take. The router with id \a except is not considered.
    [[nodiscard]] bool isDesignatedFor(std::uint64_t key, TimePoint now,
                                       std::string_view except = {}) const;
    /// \returns the number of routers that come before this one in asking the store to confirm the
    /// fleet's state, of those that are connected to the store and whose updates arrive within
    /// maxConfirmerInterval.
    [[nodiscard]] std::size_t confirmerRank(TimePoint now) const;
    /// \returns when the store last confirmed to another router that no configuration is newer than
    /// \a version; the clock's epoch if never.
    [[nodiscard]] TimePoint configConfirmedAt(std::uint64_t version, TimePoint now) const;
    /// \returns the same for upstream changes after \a revision.
    [[nodiscard]] TimePoint upstreamsConfirmedAt(std::uint64_t revision, TimePoint now) const;
    /// \returns the same for evacuations after \a revision.
    [[nodiscard]] TimePoint evacuationsConfirmedAt(std::uint64_t revision, TimePoint now) const;
    /// \returns whether more than half of the routers of this data centre that were recently alive,
    /// including this one, are alive now. In a partition at most one part of them can say so.
    [[nodiscard]] bool reachesLocalMajority(TimePoint now) const;
    /// \returns the address of the coordinator of the engine with the hash \a key in
    /// \a engineDataCentre; nothing if it is this router, which is not eligible if it \a
    /// isStopping.
    [[nodiscard]] std::optional<Endpoint> coordinatorOf(std::uint64_t key,
                                                        const std::string &engineDataCentre,
                                                        bool isStopping, TimePoint now) const;
    /// \returns a router with a newer configuration than \a configVersion or a newer store revision
    /// than \a storeRevision; nothing if there is none. Different values of \a turn give different
    /// routers.
    [[nodiscard]] std::optional<Endpoint> routerWithNewerState(std::uint64_t configVersion,
                                                               std::uint64_t storeRevision,
                                                               std::uint64_t turn,
                                                               TimePoint now) const;
    /// \returns a live router that accepts forwarded requests and reaches the service, of this data
    /// centre if enough of its routers do; nothing if there is none. Requests spread over the
    /// routers by their hash.
    [[nodiscard]] std::optional<Endpoint> forwardTarget(const ForwardQuery &query,
                                                        TimePoint now) const;
    /// \returns the routers of other data centres that are to keep a copy of the origin of
    /// \a stream, because their updates are too rare to carry it.
    [[nodiscard]] std::vector<Endpoint> originHolders(StreamKey stream, TimePoint now) const;
    /// \returns the routers that can confirm the origin of \a stream. Those that have failed count
    /// for majorityRetention.
    [[nodiscard]] OriginWitnesses originWitnesses(StreamKey stream, TimePoint now) const;
    /// \returns the routers that may know the origin of a stream, wherever it began.
    [[nodiscard]] std::vector<Endpoint> originSources(StreamKey stream, TimePoint now) const;
    /// \returns the routers by which is decided what is passed on to \a joining.
    [[nodiscard]] OriginPeers originPeers(const Endpoint &joining, TimePoint now) const;
    /// \returns the live routers that keep the origins of all streams of this data centre.
    [[nodiscard]] std::vector<Endpoint> originReceivers(TimePoint now) const;
    /// \returns up to \a limit live routers, starting further on with each \a turn.
    [[nodiscard]] std::vector<Endpoint> aliveSubset(std::size_t limit, std::uint64_t turn,
                                                    TimePoint now) const;

private:
    /// Update intervals, which depend on the number of routers.
    struct GossipIntervals
    {
        Milliseconds localInterval{0};
        Milliseconds remoteInterval{0};
        /// Time without updates after which a router in another data centre counts as failed.
        Milliseconds remoteTimeout{0};
    };

    [[nodiscard]] static double scoreOf(std::uint64_t key, const std::string &id);
    [[nodiscard]] GossipIntervals gossipIntervals() const;
    [[nodiscard]] bool isLocal(const RouterContact &contact) const
    {
        return contact.dataCentre == this->dataCentre;
    }
    [[nodiscard]] bool isAlive(const RouterContact &contact, const GossipIntervals &rhythm,
                               TimePoint now) const;
    /// \returns whether regular updates to \a contact are frequent enough to carry the origins of
    /// streams.
    [[nodiscard]] bool carriesOrigins(const RouterContact &contact,
                                      const GossipIntervals &intervals) const
    {
        return this->isLocal(contact) || intervals.remoteInterval <= maxConfirmerInterval;
    }
    /// \returns the live routers that keep origins, by descending score for \a stream.
    [[nodiscard]] std::vector<std::pair<Endpoint, const RouterContact *>>
    originKeepers(StreamKey stream, const GossipIntervals &intervals, TimePoint now) const;
    /// \returns the latest \a confirmed time of the routers whose \a content is not newer than \a
    /// known.
    [[nodiscard]] TimePoint latestConfirmation(std::uint64_t RouterContact::*content,
                                               TimePoint RouterContact::*confirmed,
                                               std::uint64_t known, TimePoint now) const;

    std::string id;
    std::string dataCentre;
    std::map<Endpoint, RouterContact> contacts;
};

} // namespace plantainswitch
