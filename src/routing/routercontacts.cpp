#include "plantainswitch/routing/routercontacts.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "plantainswitch/base/hash.h"
#include "plantainswitch/membership/watchers.h"
#include "plantainswitch/placement/rendezvous.h"
#include "plantainswitch/routing/peerloads.h"

namespace plantainswitch {

namespace {

Milliseconds intervalFor(std::size_t routers, std::size_t threshold, Milliseconds maxInterval)
{
    const auto scaled =
        static_cast<std::int64_t>(routers) * gossipInterval / static_cast<std::int64_t>(threshold);
    return std::clamp(std::chrono::duration_cast<Milliseconds>(scaled), gossipInterval,
                      maxInterval);
}

/// Hash key of the confirmer's election, which makes it independent of others.
constexpr std::uint64_t confirmerKey = 0x636f6e6669726d73;

/// \returns whether \a now lies in a later period than \a last. \a seed shifts the start of the
/// periods, so that updates to many routers that were discovered at once are spread over the
/// period.
bool isLaterPeriod(TimePoint last, TimePoint now, Duration period, std::uint64_t seed)
{
    const Duration offset{static_cast<Duration::rep>(
        seed % static_cast<std::uint64_t>(std::max<Duration::rep>(period.count(), 1)))};
    return (now.time_since_epoch() + offset) / period > (last.time_since_epoch() + offset) / period;
}

/// A data centre's routers forward requests among themselves if at least one in this many of them
/// accepts any; otherwise to all routers of the fleet alike.
constexpr std::size_t minLocalHelperShare = 3;

bool isEligible(const RouterContact &contact, const Endpoint &address, const ForwardQuery &query)
{
    const bool wasTried =
        std::find(query.tried.begin(), query.tried.end(), address.host) != query.tried.end();
    return contact.acceptsForwards && !contact.stopping && !wasTried
           && !contact.unreachableServices.contains(query.service)
           && (!query.isPermitted || query.isPermitted(contact.dataCentre));
}

} // namespace

double RouterContacts::scoreOf(std::uint64_t key, const std::string &id)
{
    return rendezvousScore(key, {hashOf(id), 1.0});
}

void RouterContacts::add(const Endpoint &address, TimePoint now)
{
    RouterContact contact;
    contact.lastSeen = now;
    this->contacts.try_emplace(address, std::move(contact));
}

void RouterContacts::addSeed(const Endpoint &address, TimePoint now)
{
    this->add(address, now);
    this->contacts.at(address).isSeed = true;
}

RouterContact &RouterContacts::recordReceived(const Endpoint &address, TimePoint now)
{
    RouterContact &contact = this->contacts[address];
    contact.lastSeen = now;
    contact.isMember = true;
    return contact;
}

RouterContacts::GossipIntervals RouterContacts::gossipIntervals() const
{
    std::size_t local = 0;
    std::size_t remote = 0;
    for (const auto &[address, contact] : this->contacts) {
        if (contact.isMember) {
            ++(this->isLocal(contact) ? local : remote);
        }
    }
    GossipIntervals intervals;
    intervals.localInterval = intervalFor(local, maxFastLocalRouters, maxLocalInterval);
    intervals.remoteInterval = intervalFor(remote, maxFastRemoteRouters, maxRemoteInterval);
    intervals.remoteTimeout = std::max(peerTimeout, maxMissedUpdates * intervals.remoteInterval);
    return intervals;
}

Milliseconds RouterContacts::maxInterval() const
{
    const GossipIntervals intervals = this->gossipIntervals();
    return std::max({intervals.localInterval, intervals.remoteInterval, unresponsiveInterval});
}

bool RouterContacts::isAlive(const RouterContact &contact, const GossipIntervals &intervals,
                             TimePoint now) const
{
    return contact.isMember
           && now - contact.lastSeen
                  < (this->isLocal(contact) ? peerTimeout : intervals.remoteTimeout);
}

std::size_t RouterContacts::aliveCount(TimePoint now) const
{
    const GossipIntervals intervals = this->gossipIntervals();
    const auto alive =
        std::count_if(this->contacts.begin(), this->contacts.end(), [&](const auto &entry) {
            return this->isAlive(entry.second, intervals, now);
        });
    return static_cast<std::size_t>(alive);
}

bool RouterContacts::lacksAddresses(const Endpoint &address, std::size_t alive) const
{
    const auto found = this->contacts.find(address);
    return found != this->contacts.end() && found->second.isMember
           && found->second.aliveRouters < alive;
}

std::map<std::string, DataCentreContact> RouterContacts::otherDataCentres(TimePoint now) const
{
    const GossipIntervals intervals = this->gossipIntervals();
    std::map<std::string, std::int64_t> routers;
    std::map<std::string, DataCentreContact> result;
    for (const auto &[address, contact] : this->contacts) {
        if (this->isLocal(contact) || !this->isAlive(contact, intervals, now)) {
            continue;
        }
        DataCentreContact &dataCentre = result[contact.dataCentre];
        dataCentre.lastSeen = std::max(dataCentre.lastSeen, contact.lastSeen);
        dataCentre.updateInterval =
            Duration{intervals.remoteInterval} / ++routers[contact.dataCentre];
    }
    return result;
}

std::size_t RouterContacts::localRoutersSeenSince(TimePoint since) const
{
    const auto seen =
        std::count_if(this->contacts.begin(), this->contacts.end(), [&](const auto &entry) {
            return entry.second.isMember && this->isLocal(entry.second)
                   && entry.second.lastSeen > since;
        });
    return static_cast<std::size_t>(seen);
}

std::vector<UpdateGroup> RouterContacts::takeDueGroups(BroadcastScope scope, TimePoint now)
{
    const GossipIntervals intervals = this->gossipIntervals();
    // Timers fire slightly early or late: updates due before half of the next interval are sent
    // now.
    constexpr Milliseconds slack = gossipInterval / 2;
    std::map<std::pair<TimePoint, bool>, std::vector<Endpoint>> groups;
    for (auto &[address, contact] : this->contacts) {
        const bool isLocal = this->isLocal(contact);
        const bool isAlive = this->isAlive(contact, intervals, now);
        const Milliseconds interval = !isAlive  ? unresponsiveInterval
                                      : isLocal ? intervals.localInterval
                                                : intervals.remoteInterval;
        const bool isInScope =
            scope == BroadcastScope::All || (scope == BroadcastScope::Local && isLocal);
        const bool isSpread = isAlive && !isLocal && interval > gossipInterval;
        const bool isDue = isSpread ? isLaterPeriod(contact.lastSent, now, interval,
                                                    hashOf(this->id + address.host, address.port))
                                    : now - contact.lastSent + slack >= interval;
        if ((isAlive && isInScope) || isDue) {
            groups[{contact.lastSent, this->carriesOrigins(contact, intervals)}].push_back(address);
            contact.lastSent = now;
        }
    }
    std::vector<UpdateGroup> due;
    due.reserve(groups.size());
    for (auto &[key, routers] : groups) {
        due.push_back({key.first, std::move(routers), key.second});
    }
    return due;
}

void RouterContacts::recordSent(const Endpoint &address, TimePoint now)
{
    this->contacts[address].lastSent = now;
}

std::vector<std::string> RouterContacts::removeFailed(TimePoint now)
{
    const GossipIntervals intervals = this->gossipIntervals();
    std::set<std::string> failed;
    std::set<std::string> alive;
    for (auto &[address, contact] : this->contacts) {
        if (contact.isMember) {
            contact.isMember = this->isAlive(contact, intervals, now);
            (contact.isMember ? alive : failed).insert(contact.id);
        }
    }
    std::vector<std::string> lost;
    // A router that came back at another address hasn't failed with its old one.
    std::set_difference(failed.begin(), failed.end(), alive.begin(), alive.end(),
                        std::back_inserter(lost));
    return lost;
}

void RouterContacts::removeUnresponsive(TimePoint now)
{
    std::erase_if(this->contacts, [now](const auto &entry) {
        return !entry.second.isSeed && now - entry.second.lastSeen > contactRetention;
    });
}

std::vector<Endpoint> RouterContacts::addressesOf(const std::string &router) const
{
    std::vector<Endpoint> found;
    for (const auto &[address, contact] : this->contacts) {
        if (contact.id == router) {
            found.push_back(address);
        }
    }
    return found;
}

TimePoint RouterContacts::lastSeen(const std::string &router) const
{
    TimePoint latest;
    for (const auto &[address, contact] : this->contacts) {
        if (contact.id == router) {
            latest = std::max(latest, contact.lastSeen);
        }
    }
    return latest;
}

bool RouterContacts::isWatcherAlive(TimePoint now) const
{
    return std::any_of(this->contacts.begin(), this->contacts.end(), [now](const auto &entry) {
        // The failure of a watcher must be detected within moments in any data centre: an edit has
        // to be in force within two seconds.
        return entry.second.storeConnected && entry.second.isMember
               && now - entry.second.lastSeen < peerTimeout;
    });
}

std::optional<std::size_t> RouterContacts::watchRank(TimePoint now) const
{
    const GossipIntervals intervals = this->gossipIntervals();
    std::vector<Heartbeat> active(1);
    active.front().id = this->id;
    active.front().dataCentre = this->dataCentre;
    for (const auto &[address, contact] : this->contacts) {
        if (this->isAlive(contact, intervals, now)) {
            Heartbeat member;
            member.id = contact.id;
            member.dataCentre = contact.dataCentre;
            member.leaving = contact.stopping;
            active.push_back(std::move(member));
        }
    }
    return plantainswitch::watchRank(this->id, this->dataCentre, active,
                                     storeWatchersPerDataCentre);
}

bool RouterContacts::isDesignatedFor(std::uint64_t key, TimePoint now,
                                     std::string_view except) const
{
    const GossipIntervals intervals = this->gossipIntervals();
    const double own = scoreOf(key, this->id);
    return std::none_of(this->contacts.begin(), this->contacts.end(), [&](const auto &entry) {
        const RouterContact &contact = entry.second;
        return contact.id != except && this->isAlive(contact, intervals, now) && !contact.stopping
               && scoreOf(key, contact.id) > own;
    });
}

std::size_t RouterContacts::confirmerRank(TimePoint now) const
{
    const GossipIntervals intervals = this->gossipIntervals();
    const double own = scoreOf(confirmerKey, this->id);
    const auto before =
        std::count_if(this->contacts.begin(), this->contacts.end(), [&](const auto &entry) {
            const RouterContact &contact = entry.second;
            const bool isTimely =
                this->isLocal(contact) || intervals.remoteInterval <= maxConfirmerInterval;
            return isTimely && this->isAlive(contact, intervals, now) && contact.storeConnected
                   && !contact.stopping && scoreOf(confirmerKey, contact.id) > own;
        });
    return static_cast<std::size_t>(before);
}

TimePoint RouterContacts::latestConfirmation(std::uint64_t RouterContact::*content,
                                             TimePoint RouterContact::*confirmed,
                                             std::uint64_t known, TimePoint now) const
{
    const GossipIntervals intervals = this->gossipIntervals();
    TimePoint latest;
    for (const auto &[address, contact] : this->contacts) {
        // A router with newer state confirms nothing to one with older state.
        if (this->isAlive(contact, intervals, now) && contact.*content <= known) {
            latest = std::max(latest, contact.*confirmed);
        }
    }
    return latest;
}

TimePoint RouterContacts::configConfirmedAt(std::uint64_t version, TimePoint now) const
{
    return this->latestConfirmation(&RouterContact::configVersion, &RouterContact::configConfirmed,
                                    version, now);
}

TimePoint RouterContacts::upstreamsConfirmedAt(std::uint64_t revision, TimePoint now) const
{
    return this->latestConfirmation(&RouterContact::storeRevision,
                                    &RouterContact::upstreamsConfirmed, revision, now);
}

TimePoint RouterContacts::evacuationsConfirmedAt(std::uint64_t revision, TimePoint now) const
{
    return this->latestConfirmation(&RouterContact::evacuationsRevision,
                                    &RouterContact::evacuationsConfirmed, revision, now);
}

bool RouterContacts::reachesLocalMajority(TimePoint now) const
{
    const GossipIntervals intervals = this->gossipIntervals();
    std::size_t known = 1;
    std::size_t alive = 1;
    for (const auto &[address, contact] : this->contacts) {
        const bool isRecent = !contact.id.empty() && now - contact.lastSeen <= majorityRetention;
        if (!this->isLocal(contact) || !isRecent || contact.stopping) {
            continue;
        }
        known += 1;
        alive += this->isAlive(contact, intervals, now) ? 1 : 0;
    }
    return alive * 2 > known;
}

std::optional<Endpoint> RouterContacts::coordinatorOf(std::uint64_t key,
                                                      const std::string &engineDataCentre,
                                                      bool isStopping, TimePoint now) const
{
    // Prefers routers in the engine's data centre, so that a data centre that is cut off keeps the
    // counts of its own engines.
    const GossipIntervals intervals = this->gossipIntervals();
    bool bestIsLocal = engineDataCentre == this->dataCentre && !isStopping;
    double highest = scoreOf(key, this->id);
    std::optional<Endpoint> best;
    for (const auto &[address, contact] : this->contacts) {
        if (!this->isAlive(contact, intervals, now) || contact.stopping) {
            continue;
        }
        const bool isLocal = contact.dataCentre == engineDataCentre;
        const double score = scoreOf(key, contact.id);
        if ((isLocal && !bestIsLocal) || (isLocal == bestIsLocal && score > highest)) {
            best = address;
            highest = score;
            bestIsLocal = isLocal;
        }
    }
    return best;
}

std::optional<Endpoint> RouterContacts::forwardTarget(const ForwardQuery &query,
                                                      TimePoint now) const
{
    struct Choice
    {
        std::optional<Endpoint> address;
        double score = 0.0;
    };
    const GossipIntervals intervals = this->gossipIntervals();
    Choice local;
    Choice any;
    std::size_t localRouters = 1;
    std::size_t localEligible = 0;
    const auto consider = [](Choice &choice, const Endpoint &address, double score) {
        if (!choice.address || score > choice.score) {
            choice = {address, score};
        }
    };
    for (const auto &[address, contact] : this->contacts) {
        if (!this->isAlive(contact, intervals, now)) {
            continue;
        }
        const bool isLocal = this->isLocal(contact);
        localRouters += isLocal ? 1 : 0;
        if (!isEligible(contact, address, query)) {
            continue;
        }
        const double score = scoreOf(query.request, contact.id);
        consider(any, address, score);
        if (isLocal) {
            localEligible += 1;
            consider(local, address, score);
        }
    }
    // A few routers of a data centre cannot serve the callers of all others there.
    const bool localsSuffice = localEligible * minLocalHelperShare >= localRouters;
    return localsSuffice && local.address ? local.address : any.address;
}

std::optional<Endpoint> RouterContacts::routerWithNewerState(std::uint64_t configVersion,
                                                             std::uint64_t storeRevision,
                                                             std::uint64_t turn,
                                                             TimePoint now) const
{
    // Each router asks a different one: if all asked the same, its slow link would be busy for
    // seconds with a large configuration. Every router that has the newer state passes it on.
    const GossipIntervals intervals = this->gossipIntervals();
    const std::uint64_t key = hashOf(this->id, turn);
    std::optional<Endpoint> best;
    bool bestIsLocal = false;
    double highest = 0.0;
    for (const auto &[address, contact] : this->contacts) {
        const bool isNewer =
            contact.configVersion > configVersion || contact.storeRevision > storeRevision;
        if (!isNewer || !this->isAlive(contact, intervals, now)) {
            continue;
        }
        const bool isLocal = this->isLocal(contact);
        const double score = scoreOf(key, contact.id);
        if (!best || (isLocal && !bestIsLocal) || (isLocal == bestIsLocal && score > highest)) {
            best = address;
            bestIsLocal = isLocal;
            highest = score;
        }
    }
    return best;
}

std::vector<Endpoint> RouterContacts::aliveSubset(std::size_t limit, std::uint64_t turn,
                                                  TimePoint now) const
{
    const GossipIntervals intervals = this->gossipIntervals();
    std::vector<Endpoint> alive;
    for (const auto &[address, contact] : this->contacts) {
        if (this->isAlive(contact, intervals, now)) {
            alive.push_back(address);
        }
    }
    if (alive.size() > limit) {
        const auto first = static_cast<std::ptrdiff_t>(turn * limit % alive.size());
        std::rotate(alive.begin(), alive.begin() + first, alive.end());
        alive.resize(limit);
    }
    return alive;
}

} // namespace plantainswitch
