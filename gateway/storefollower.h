#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "plantainswitch/membership/freshness.h"

#include "sequentialhttpclient.h"

namespace plantainswitch::gateway {

/// Callbacks of a StoreFollower.
struct FollowerHandlers
{
    /// Called with the complete list. Until \a keepUntil a missing entry may still come back,
    /// because the store was unreachable.
    std::function<void(std::vector<StoreObject>, TimePoint keepUntil)> onList;
    /// Called with changed objects; \a keepUntil as for onList.
    std::function<void(std::vector<StoreObject>, TimePoint keepUntil)> onChanges;
    /// \returns how many routers precede this one in confirming this kind with the store; 0 if
    /// unset.
    std::function<std::size_t()> confirmerRank;
    /// \returns whether another router watches for the same data centre; false if unset.
    std::function<bool()> isStandby = {};
};

/// Keeps track of all objects of one kind: lists them once, then watches for changes. Lists again
/// when the store has dropped its history. During an outage it keeps what it knows and retries.
class StoreFollower
{
public:
    StoreFollower(GatewayState &gateway, StoreObjectKind kind, FreshnessPolicy policy,
                  FollowerHandlers events);

    /// Lists once; resume() starts the watch. After a stale list revision() stays 0 and resume()
    /// lists again, since no change reports what was removed before the list.
    void start(ReadConsistency consistency = ReadConsistency::Linearizable);
    /// Ends retries; the response of a running call is ignored.
    void stop();
    /// Stops the watch until resume(). Meanwhile the state comes from other routers.
    void pause();
    /// Lists again and watches.
    void resume();
    /// Cancels a watch that gets no response and lists again. Until the list succeeds the store
    /// counts as unreachable.
    void relist();
    /// If this router is the confirmer, replaces a long watch by a short one when a confirmation is
    /// due. Lists again if the confirmer's confirmation is overdue.
    /// \param fleetConfirmedAt when the store last confirmed to another router what this one knows
    void checkConfirmation(TimePoint fleetConfirmedAt);
    /// Records that an upstream was dropped without a change in the store.
    void recordRemoval() noexcept
    {
        this->lastChange = std::max(this->lastChange, this->syncState.revision);
    }
    [[nodiscard]] bool isPaused() const noexcept { return this->paused; }
    /// \returns whether resume() was called since the last pause().
    [[nodiscard]] bool isWatching() const noexcept { return this->watching; }
    /// \returns whether it delays the next watch after a change, to gather further changes.
    [[nodiscard]] bool isGatheringChanges() const noexcept { return this->changedAt.has_value(); }
    /// \returns whether the last call succeeded.
    [[nodiscard]] bool isConnected() const noexcept { return this->failures == 0; }
    /// \returns whether the store's last response was 429 (too many requests).
    [[nodiscard]] bool isThrottled() const noexcept { return this->throttled; }
    /// \returns the store's revision up to which all changes are known.
    [[nodiscard]] std::uint64_t revision() const noexcept { return this->syncState.revision; }
    /// \returns the revision of the newest change of this kind. It is the same on all routers with
    /// the same objects, while revision() advances with each response.
    [[nodiscard]] std::uint64_t latestChange() const noexcept { return this->lastChange; }

private:
    void list();
    void onListReply(const CallReply &reply);
    /// Passes the pages of a complete list to the handlers.
    void finishList();
    void watch();
    /// Watches again, unless this router is a standby and has to wait longer.
    void endGathering();
    /// Watches for changes, and asks the store to hold the call for up to \a wait.
    void startWatch(Milliseconds wait);
    void onWatchReply(const CallReply &reply);
    void onFailure(int status);
    void onSuccess();
    /// Calls the store; \a done handles the response.
    void call(const std::string &target, CallTimeouts limits,
              void (StoreFollower::*done)(const CallReply &));
    /// \returns whether the next response for this kind has to confirm the fleet's state.
    [[nodiscard]] bool isConfirmer() const;
    [[nodiscard]] std::size_t confirmerRank() const;
    /// Records the newest revision among the objects of a response.
    void recordChanges(const std::vector<StoreObject> &items, std::uint64_t revision);
    /// \returns the age of the running call; 0 if there is none.
    [[nodiscard]] Milliseconds callAge() const;
    /// \returns the time since the store's last confirmation.
    [[nodiscard]] Milliseconds confirmationAge() const;
    void scheduleStep(Milliseconds delay, void (StoreFollower::*step)());

    GatewayState &gateway;
    StoreObjectKind kind;
    StoreSyncState &syncState;
    FreshnessPolicy policy;
    FollowerHandlers handlers;
    SequentialHttpClient client;
    AdaptiveTimeout responseTimeout;
    /// How long the store may hold the running call; 0 if it is not a watch.
    Milliseconds currentWatchWait{0};
    asio::steady_timer timer;
    /// Of the running list, or of the next one.
    ReadConsistency listConsistency = ReadConsistency::Linearizable;
    /// Pages received of a list that is still running.
    std::vector<StoreObject> partialList;
    /// When the first page arrived, and the store's revision at that time.
    TimePoint listStartedAt;
    std::uint64_t listRevision = 0;
    std::uint64_t lastChange = 0;
    std::uint32_t failures = 0;
    bool stopped = false;
    bool paused = false;
    bool watching = false;
    bool hadOutage = false;
    bool throttled = false;
    /// When the last change arrived, while further ones are gathered.
    std::optional<TimePoint> changedAt;
    /// Until when entries that lapsed during an outage may come back.
    TimePoint retainMissingUntil;
};

} // namespace plantainswitch::gateway
