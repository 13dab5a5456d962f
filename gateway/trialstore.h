#pragma once

#include <deque>
#include <functional>
#include <string>
#include <unordered_set>

#include "plantainswitch/routing/trialrecord.h"

#include "sequentialhttpclient.h"

namespace plantainswitch::gateway {

/// What the store says to a request for a trial.
enum class TrialPermit : std::uint8_t {
    Permitted,
    /// Another router was permitted a trial.
    Denied,
    /// The store did not respond, or refused the call.
    Unavailable,
};
[[nodiscard]] std::string_view nameOf(TrialPermit permit) noexcept;

/// The records of quarantined requests in the platform's store. They outlive the routers, and
/// permit each trial to one router of the fleet.
class TrialStore
{
public:
    explicit TrialStore(GatewayState &gateway);

    /// Lists the records, and once more when a stale list has caught up.
    void start();
    void stop();
    /// Creates the record of a request. If there is one, routers that this one is cut off from have
    /// seen crashes, too, and the request is quarantined.
    void create(SuspectKey key);
    /// Records that a request is quarantined, for routers that this one cannot reach.
    void markQuarantined(SuspectKey key);
    /// Reads whether other routers have quarantined a request.
    void refresh(SuspectKey key);
    /// Asks for the next trial of a request.
    void requestTrial(SuspectKey key, std::function<void(TrialPermit)> done);
    /// Takes back a trial that this router was permitted and that reached no upstream.
    void returnTrial(SuspectKey key);
    /// Removes the record of a request that was answered.
    void erase(SuspectKey key);
    /// \returns whether this router may have written the record of the request. It removes the
    /// record when it learns that the request was answered, as other routers may not know of it.
    [[nodiscard]] bool hasCreated(SuspectKey key) const
    {
        return this->createdRecords.contains(key);
    }

private:
    struct Call
    {
        std::string method;
        std::string target;
        std::string body;
        Milliseconds timeout{0};
        std::function<void(const CallReply &)> done;
    };

    void recordCreated(SuspectKey key);
    /// Removes a record that was written while the request was answered.
    void eraseIfAnswered(SuspectKey key);
    void list();
    void onListed(const CallReply &reply);
    void enqueue(Call call);
    void startNext();
    [[nodiscard]] std::string targetOf(SuspectKey key) const;
    /// Reads the record of a request. \a done gets whether the store responded, and the record if
    /// there is one.
    void read(SuspectKey key, std::function<void(bool, std::optional<TrialRecord>)> done);
    /// Writes a record. A conflict is Denied.
    void write(const TrialRecord &record, TrialStep step, std::function<void(TrialPermit)> done);
    [[nodiscard]] std::optional<TrialRecord> recordIn(const std::string &body) const;

    GatewayState &gateway;
    SequentialHttpClient client;
    asio::steady_timer timer;
    std::deque<Call> calls;
    /// Bounded by maxCrashSuspects; further records stay until they expire.
    std::unordered_set<SuspectKey> createdRecords;
    /// Lists that have succeeded since the start.
    int lists = 0;
};

} // namespace plantainswitch::gateway
