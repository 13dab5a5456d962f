#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plantainswitch/base/clock.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch {

/// Shortest pause between updates to one router. A request lasts some hundred milliseconds, so that
/// older figures would say little of what runs now.
inline constexpr Milliseconds gossipInterval{100};
/// Above so many routers of the own data centre, and of all others, the pause grows with their
/// number, so that what a router sends and receives in a second stays the same: 60 datagrams each,
/// together a twentieth of a 10 Mbit/s link. Who is near hears sooner: keepers and watchers are
/// near ones.
inline constexpr std::size_t maxFastLocalRouters = 6;
inline constexpr std::size_t maxFastRemoteRouters = 6;
/// Three updates of a near router fit into peerTimeout, so that one lost datagram means nothing.
inline constexpr Milliseconds maxLocalInterval{500};
inline constexpr Milliseconds maxRemoteInterval{5000};
/// Updates that must be missed before a router counts as failed. A window of one pause let a lost
/// datagram remove members, whose return was broadcast at once: 240 routers sent 1 MB/s each
/// and lost more and more of it.
inline constexpr int maxMissedUpdates = 3;
/// Pause between updates to an address that doesn't answer: it may be another router's tomorrow.
inline constexpr Milliseconds unresponsiveInterval{2000};
/// A router whose updates come at least so often can confirm for others what the store holds.
inline constexpr Milliseconds maxConfirmerInterval{200};
/// Routers of a data centre that watch the store: the first one, and one that goes on while the
/// first is lost and not yet missed.
inline constexpr std::size_t storeWatchersPerDataCentre = 2;
/// Silence after which an address is forgotten unless the settings name it: longer than data
/// centres are cut off from each other. Each restart of a VM may bring a new address; kept for
/// ever, the failed ones would be sent updates all day.
inline constexpr Seconds contactRetention{3600};

/// Whom to tell.
enum class BroadcastScope : std::uint8_t {
    /// Those whose time it is.
    Due,
    /// Also all near ones: something changed that they wait for.
    Local,
    /// All that are alive.
    All,
};

/// Routers to which the last update was sent at one moment, so that the next one is the same.
struct UpdateGroup
{
    /// When that was; the clock's beginning: never.
    TimePoint lastSent;
    std::vector<Endpoint> routers;
};

/// What a router knows of another one's address.
struct RouterContact
{
    std::string id;
    /// Data centre.
    std::string dataCentre;
    /// When an update last came from there; before that: when the address was added.
    TimePoint lastSeen;
    TimePoint lastSent;
    bool isMember = false;
    /// The settings name it.
    bool isSeed = false;
    std::uint64_t configVersion = 0;
    /// Other routers that it receives updates from.
    std::size_t aliveRouters = 0;
    /// The newest change of upstreams that it knows.
    std::uint64_t storeRevision = 0;
    /// When the store last confirmed to it that its configuration, or its list of upstreams, is the
    /// newest.
    TimePoint configConfirmed;
    TimePoint upstreamsConfirmed;
    /// The store answers it.
    bool storeConnected = false;
    bool stopping = false;
};

/// What comes from the routers of another data centre.
struct DataCentreContact
{
    /// When the last update came.
    TimePoint lastSeen;
    /// Expected time between two updates.
    Duration updateInterval{0};
};

/// The other routers' addresses, and who of them does what only one or a few may do.
class RouterContacts
{
public:
    /// \param id name of this router
    /// \param place its data centre
    RouterContacts(std::string id, std::string place)
        : id(std::move(id))
        , dataCentre(std::move(place))
    {}

    /// Adds an address unless it is known.
    void add(const Endpoint &address, TimePoint now);
    /// Adds an address that is never forgotten: by it routers that lost each other for long meet.
    void addSeed(const Endpoint &address, TimePoint now);
    /// Notes that an update came from \a address. \returns its contact, for what the update says.
    RouterContact &recordReceived(const Endpoint &address, TimePoint now);
    /// \returns to whom updates are sent now, and notes that they are.
    std::vector<UpdateGroup> takeDueGroups(BroadcastScope wave, TimePoint now);
    /// Notes that an update is sent to \a address now.
    void recordSent(const Endpoint &address, TimePoint now);
    /// Drops routers that were silent for too long. \returns their ids.
    std::vector<std::string> removeFailed(TimePoint now);
    /// Forgets addresses that were silent for contactRetention.
    void removeUnresponsive(TimePoint now);

    [[nodiscard]] std::size_t size() const noexcept { return this->contacts.size(); }
    /// \returns how many other routers are alive.
    [[nodiscard]] std::size_t aliveCount(TimePoint now) const;
    /// \returns whether the router at \a address receives updates from fewer routers than \a alive,
    /// so that it may lack their addresses.
    [[nodiscard]] bool lacksAddresses(const Endpoint &address, std::size_t alive) const;
    /// \returns what comes from the live routers of each other data centre.
    [[nodiscard]] std::map<std::string, DataCentreContact> otherDataCentres(TimePoint now) const;
    /// \returns how many routers of this data centre have sent an update after \a since.
    [[nodiscard]] std::size_t localRoutersSeenSince(TimePoint since) const;
    /// \returns the longest time between two updates to one router.
    [[nodiscard]] Milliseconds maxInterval() const;
    /// \returns all addresses from which updates of \a router ever came.
    [[nodiscard]] std::vector<Endpoint> addressesOf(const std::string &router) const;
    /// \returns whether a router that the store answers is alive.
    [[nodiscard]] bool isWatcherAlive(TimePoint now) const;
    /// \returns the position of this router among those that watch the store for its data centre, 0
    /// for the first one; nothing if it is none of them.
    [[nodiscard]] std::optional<std::size_t> watchRank(TimePoint now) const;
    /// \returns whether this router is the one of the fleet that does what only one may do, for \a
    /// key. The router with the id \a except is not considered.
    [[nodiscard]] bool isDesignatedFor(std::uint64_t key, TimePoint now,
                                       std::string_view except = {}) const;
    /// \returns how many routers come before this one in having the store confirm what the fleet
    /// knows: of those that the store answers and whose updates arrive within moments.
    [[nodiscard]] std::size_t confirmerRank(TimePoint now) const;
    /// \returns when the store last confirmed to another router that no configuration is newer than
    /// \a version; the clock's beginning: never.
    [[nodiscard]] TimePoint configConfirmedAt(std::uint64_t version, TimePoint now) const;
    /// \returns the same for changes of upstreams after \a revision.
    [[nodiscard]] TimePoint upstreamsConfirmedAt(std::uint64_t revision, TimePoint now) const;
    /// \returns the keeper of the engine life \a life in \a enginePlace; nothing when it is this
    /// router, which takes no part if it \a isStopping.
    [[nodiscard]] std::optional<Endpoint> coordinatorOf(std::uint64_t life,
                                                        const std::string &enginePlace,
                                                        bool isStopping, TimePoint now) const;
    /// \returns a router that knows a newer configuration than \a configVersion or more of the
    /// store than \a storeRevision. Another \a turn gives another one.
    [[nodiscard]] std::optional<Endpoint> routerWithNewerState(std::uint64_t configVersion,
                                                               std::uint64_t storeRevision,
                                                               std::uint64_t turn,
                                                               TimePoint now) const;
    /// \returns \a most of the live routers, beginning further on with each \a turn.
    [[nodiscard]] std::vector<Endpoint> aliveSubset(std::size_t most, std::uint64_t turn,
                                                    TimePoint now) const;

private:
    /// How often updates are sent to the others, by how many they are.
    struct GossipIntervals
    {
        Milliseconds localInterval{0};
        Milliseconds remoteInterval{0};
        /// Silence after which a router in another data centre counts as gone.
        Milliseconds remoteTimeout{0};
    };

    [[nodiscard]] GossipIntervals gossipIntervals() const;
    [[nodiscard]] bool isLocal(const RouterContact &contact) const
    {
        return contact.dataCentre == this->dataCentre;
    }
    [[nodiscard]] bool isAlive(const RouterContact &contact, const GossipIntervals &rhythm,
                               TimePoint now) const;
    /// \returns the newest of \a confirmed at routers that know nothing newer of \a content than
    /// \a known.
    [[nodiscard]] TimePoint latestConfirmation(std::uint64_t RouterContact::*content,
                                               TimePoint RouterContact::*confirmed,
                                               std::uint64_t known, TimePoint now) const;

    std::string id;
    std::string dataCentre;
    std::map<Endpoint, RouterContact> contacts;
};

} // namespace plantainswitch
