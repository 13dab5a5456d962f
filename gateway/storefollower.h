#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "plantainswitch/membership/freshness.h"

#include "sequentialhttpclient.h"

namespace plantainswitch::gateway {

/// Who is notified of the objects of one kind.
struct FollowerHandlers
{
    /// The whole list. Until \a keepUntil an entry that is missing may still come back: the store
    /// was out of reach.
    std::function<void(std::vector<StoreObject>, TimePoint keepUntil)> onList;
    /// Objects that changed; \a keepUntil as above.
    std::function<void(std::vector<StoreObject>, TimePoint keepUntil)> onChanges;
    /// \returns how many routers come before this one in having the store confirm this kind; unset:
    /// none.
    std::function<std::size_t()> confirmerRank;
    /// \returns whether another router watches for the same data centre; unset: no.
    std::function<bool()> isStandby = {};
};

/// Follows all objects of one kind: lists them once, then waits for changes. When the store has
/// dropped the history it lists again; through an outage it keeps what it knows and asks on.
class StoreFollower
{
public:
    StoreFollower(GatewayState &gateway, StoreObjectKind kind, FreshnessPolicy policy,
                  FollowerHandlers events);

    /// Lists once; resume() begins the watch. After a stale list position() stays 0, and resume()
    /// lists again: no change shows what was removed before the list.
    void start(ReadConsistency consistency = ReadConsistency::Linearizable);
    void stop();
    /// Ends the watch until resume(); another router's word serves meanwhile.
    void pause();
    /// Lists again and watches.
    void resume();
    /// Gives a watch up that is not answered, and lists again. Until the list is answered the store
    /// counts as out of reach.
    void relist();
    /// As the confirmer, replaces a long watch by a short one when it is due; lists again if the
    /// confirmer's answer is overdue.
    /// \param fleetConfirmedAt when the store last confirmed to another router what this one knows
    void checkConfirmation(TimePoint fleetConfirmedAt);
    /// Notes that an upstream counts as gone without a change of the store.
    void recordRemoval() noexcept
    {
        this->lastChange = std::max(this->lastChange, this->syncState.revision);
    }
    [[nodiscard]] bool isPaused() const noexcept { return this->paused; }
    [[nodiscard]] bool isWatching() const noexcept { return this->watching; }
    /// \returns whether it waits after a change before it watches again.
    [[nodiscard]] bool isGatheringChanges() const noexcept { return this->changedAt.has_value(); }
    /// \returns whether the last call was answered.
    [[nodiscard]] bool isConnected() const noexcept { return this->failures == 0; }
    /// \returns whether the store's last answer was that too many calls are made.
    [[nodiscard]] bool isThrottled() const noexcept { return this->throttled; }
    /// \returns the store's revision up to which all changes are known.
    [[nodiscard]] std::uint64_t revision() const noexcept { return this->syncState.revision; }
    /// \returns the revision of the newest change of this kind. Routers with the same objects have
    /// the same one, while their positions move with each answer.
    [[nodiscard]] std::uint64_t latestChange() const noexcept { return this->lastChange; }

private:
    void list();
    void onListReply(const CallReply &reply);
    /// Hands all pages of a complete list to the events.
    void finishList();
    void watch();
    /// Watches again, unless the pause goes on because this router is a standby.
    void endGathering();
    /// Asks the store for changes, and to hold the call for \a wait.
    void startWatch(Milliseconds wait);
    void onWatchReply(const CallReply &reply);
    void onFailure(int status);
    void onSuccess();
    /// Starts a call to the store, which ends with \a done.
    void call(const std::string &target, CallTimeouts limits,
              void (StoreFollower::*done)(const CallReply &));
    /// \returns whether this router's next answer of this kind has to confirm what the fleet knows.
    [[nodiscard]] bool isConfirmer() const;
    [[nodiscard]] std::size_t confirmerRank() const;
    /// Takes the revisions of an answer's objects.
    void recordChanges(const std::vector<StoreObject> &items, std::uint64_t revision);
    /// \returns how long the call under way has waited; 0: none is.
    [[nodiscard]] Milliseconds callAge() const;
    /// \returns the time since the store last confirmed what is known.
    [[nodiscard]] Milliseconds confirmationAge() const;
    void scheduleStep(Milliseconds delay, void (StoreFollower::*step)());

    GatewayState &gateway;
    StoreObjectKind kind;
    StoreSyncState &syncState;
    FreshnessPolicy policy;
    FollowerHandlers handlers;
    SequentialHttpClient client;
    AdaptiveTimeout responseTimeout;
    /// How long the store may hold the call under way; 0: it is no watch.
    Milliseconds currentWatchWait{0};
    asio::steady_timer timer;
    /// Of the list that is under way, or comes next.
    ReadConsistency listConsistency = ReadConsistency::Linearizable;
    /// Pages that have come of a list that is still under way.
    std::vector<StoreObject> partialList;
    /// When the first of them came, and the store's revision then.
    TimePoint listStartedAt;
    std::uint64_t listRevision = 0;
    std::uint64_t lastChange = 0;
    std::uint32_t failures = 0;
    bool stopped = false;
    bool paused = false;
    bool watching = false;
    bool hadOutage = false;
    bool throttled = false;
    /// When the change came after which it pauses.
    std::optional<TimePoint> changedAt;
    /// Until when entries that lapsed in an outage may come back.
    TimePoint retainMissingUntil;
};

} // namespace plantainswitch::gateway
