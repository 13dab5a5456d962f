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
struct FollowerEvents
{
    /// The whole list. Until \a keepUntil an entry that is missing may still come back: the store
    /// was out of reach.
    std::function<void(std::vector<StoreItem>, TimePoint keepUntil)> onList;
    /// Objects that changed; \a keepUntil as above.
    std::function<void(std::vector<StoreItem>, TimePoint keepUntil)> onChanges;
    /// \returns how many routers come before this one in having the store confirm this kind; unset:
    /// none.
    std::function<std::size_t()> confirmRank;
    /// \returns whether another router watches for the same data centre; unset: no.
    std::function<bool()> isStandby = {};
};

/// Follows all objects of one kind: lists them once, then waits for changes. When the store has
/// dropped the history it lists again; through an outage it keeps what it knows and asks on.
class StoreFollower
{
public:
    StoreFollower(GatewayState &gateway, StoreKind kind, FreshnessPolicy policy,
                  FollowerEvents events);

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
    void listAnew();
    /// As the confirmer, replaces a long watch by a short one when it is due; lists again if the
    /// confirmer's answer is overdue.
    /// \param fleetConfirmedAt when the store last confirmed to another router what this one knows
    void checkConfirmed(TimePoint fleetConfirmedAt);
    /// Notes that an upstream counts as gone without a change of the store.
    void noteRemoval() noexcept
    {
        this->lastChange = std::max(this->lastChange, this->known.position);
    }
    [[nodiscard]] bool isPaused() const noexcept { return this->paused; }
    [[nodiscard]] bool isWatching() const noexcept { return this->watching; }
    /// \returns whether it waits after a change before it watches again.
    [[nodiscard]] bool isPausing() const noexcept { return this->changedAt.has_value(); }
    /// \returns whether the last call was answered.
    [[nodiscard]] bool isConnected() const noexcept { return this->failures == 0; }
    /// \returns whether the store's last answer was that too many calls are made.
    [[nodiscard]] bool isRefusedAsBusy() const noexcept { return this->refusedAsBusy; }
    /// \returns the store's revision up to which all changes are known.
    [[nodiscard]] std::uint64_t position() const noexcept { return this->known.position; }
    /// \returns the revision of the newest change of this kind. Routers with the same objects have
    /// the same one, while their positions move with each answer.
    [[nodiscard]] std::uint64_t newestChange() const noexcept { return this->lastChange; }

private:
    void list();
    void onListed(const PlainReply &reply);
    /// Hands all pages of a complete list to the events.
    void finishListing();
    void watch();
    /// Watches again, unless the pause goes on because this router is a standby.
    void endPause();
    /// Asks the store for changes, and to hold the call for \a wait.
    void watchFor(Milliseconds wait);
    void onWatched(const PlainReply &reply);
    void onFailure(int status);
    void onAnswered();
    /// Starts a call to the store, which ends with \a done.
    void call(const std::string &target, CallLimits limits,
              void (StoreFollower::*done)(const PlainReply &));
    /// \returns whether this router's next answer of this kind has to confirm what the fleet knows.
    [[nodiscard]] bool isConfirmer() const;
    [[nodiscard]] std::size_t confirmRank() const;
    /// Takes the revisions of an answer's objects.
    void noteChanges(const std::vector<StoreItem> &items, std::uint64_t revision);
    /// \returns how long the call under way has waited; 0: none is.
    [[nodiscard]] Milliseconds waited() const;
    /// \returns the time since the store last confirmed what is known.
    [[nodiscard]] Milliseconds confirmedAge() const;
    void later(Milliseconds delay, void (StoreFollower::*step)());

    GatewayState &gateway;
    StoreKind kind;
    FollowedKind &known;
    FreshnessPolicy policy;
    FollowerEvents events;
    PlainClient client;
    AnswerTimeout answerTimeout;
    /// How long the store may hold the call under way; 0: it is no watch.
    Milliseconds held{0};
    asio::steady_timer timer;
    /// Of the list that is under way, or comes next.
    ReadConsistency listConsistency = ReadConsistency::Linearizable;
    /// Pages that have come of a list that is still under way.
    std::vector<StoreItem> listing;
    /// When the first of them came, and the store's revision then.
    TimePoint listingBegan;
    std::uint64_t listingRevision = 0;
    std::uint64_t lastChange = 0;
    std::uint32_t failures = 0;
    bool stopped = false;
    bool paused = false;
    bool watching = false;
    bool wasOut = false;
    bool refusedAsBusy = false;
    /// When the change came after which it pauses.
    std::optional<TimePoint> changedAt;
    /// Until when entries that lapsed in an outage may come back.
    TimePoint keepUntil;
};

} // namespace plantainswitch::gateway
