#pragma once

#include <memory>
#include <string>
#include <vector>

#include <asio/steady_timer.hpp>

#include "plantainswitch/routing/grantsequence.h"
#include "plantainswitch/routing/placementconstraints.h"
#include "plantainswitch/routing/requestsuspects.h"
#include "plantainswitch/routing/streamorigin.h"

#include "callerconnection.h"
#include "fleetgossip.h"
#include "forwarding.h"
#include "gatewaystate.h"
#include "placementdecision.h"
#include "requestattempt.h"
#include "trialstore.h"

namespace plantainswitch::gateway {

/// Remaining time below which an attempt is pointless.
inline constexpr Milliseconds minRemainingTime{10};

/// Time after which a request whose upstream is silent is tried elsewhere again. It doubles with
/// each try that no upstream accepts.
inline constexpr Milliseconds firstTryDelay{100};

/// How long no permit is requested from a coordinator that did not respond; the time of a few
/// updates, by which a failed one is replaced.
inline constexpr Milliseconds silentCoordinatorBlock{300};

/// One request of a caller, from admission and the choice of an upstream to the end of the
/// response.
class RequestHandler : public std::enable_shared_from_this<RequestHandler>
{
public:
    /// \param forwarded what another router states, if it has forwarded the request
    RequestHandler(GatewayState &gateway, std::shared_ptr<CallerConnection> caller,
                   IncomingRequest incoming, std::optional<ForwardedRequest> forwarded);

    void start();
    /// The caller has disconnected: cancels the running attempt at once.
    void onCallerDisconnected();
    /// The caller's write queue has drained; an upstream that was paused is resumed.
    void onCallerWritable();
    /// Aborts the request because the process terminates.
    void abort();

private:
    using Phase = AttemptPhase;

    /// A complete error response of an upstream.
    struct FailedResponse
    {
        int status = 0;
        std::vector<HeaderField> fields;
        std::string body;
        BufferShare share;
    };

    /// The upstreams among which one was selected, and the selected one.
    struct CandidateChoice
    {
        CandidateSet set;
        std::optional<UpstreamSelection> selected;
    };

    /// A chosen upstream, independent of the list of candidates that it was chosen from.
    struct Selection
    {
        UpstreamSelection choice;
        std::string upstreamId;
        /// Id and address of the engine from which KV cache is copied; empty if none.
        std::string donorId;
        std::optional<Endpoint> copyFrom;
    };

    bool prepare();
    /// Refuses a request that may outlast a planned stop. \returns whether it was admitted.
    bool passStop();
    /// Places the request unless it is quarantined.
    void dispatchUnlessQuarantined();
    /// Binds the request to the version that began its stream, if it takes one up again.
    /// \returns false if the origin is being searched for, or the request was refused.
    bool bindTakenUpStream();
    /// Binds the stream by its origin. If no router knows it, it is looked up in the store.
    void onOriginFound(const OriginResult &result);
    /// Binds the stream to the only version of its service, if there is one.
    /// \param asked number of routers that were asked for the origin
    void confirmOnlyVersion(std::size_t asked);
    /// Places a request whose stream began at \a version, or refuses it if that is unknown.
    /// \param asked number of routers that were asked for the origin
    /// \param source what the version is known by
    void onVersionFound(std::optional<VersionKey> version, std::size_t asked,
                        std::string_view source);
    /// \returns whether the caller may get the first event of the stream only once a witness has
    /// confirmed its origin.
    [[nodiscard]] bool needsConfirmation() const;
    /// Refuses a new stream whose origin nobody would confirm. \returns whether it was admitted.
    bool passConfirmation();
    /// Binds the stream at its first event, and reports its origin.
    void recordStreamEvents();
    /// Records, and reports to the other routers, that the stream began at its version.
    void announceOrigin();
    /// Gives the caller the events that were withheld until the stream's origin was confirmed.
    void onOriginConfirmed(bool isConfirmed);
    /// Gives the caller complete events, or withholds them.
    void writeEvents(const std::string &events);
    /// Gives the caller the end of the stream, or withholds it.
    void writeStreamEnd();
    /// Begins the response of a stream with the fields of the upstream that began it.
    void startStream();
    /// Refuses the request if one of its suspects is quarantined for crashing upstreams, or asks
    /// for a trial. \returns whether it may be sent.
    bool passQuarantine();
    /// \returns the suspect that keeps the request from being sent to an upstream.
    [[nodiscard]] std::optional<BlockingSuspect> blockedBy() const;
    void requestTrial(SuspectKey key);
    void onTrialReply(SuspectKey key, TrialPermit permit);
    void refuseQuarantined(SuspectKey key);
    /// Records that the run at the current upstream ends without a response. The upstream may still
    /// hold it.
    void recordUnansweredRun(RunEnd end);
    /// Ends the request if no time is left for an attempt, or one of its suspects is quarantined.
    /// \returns whether an upstream may be selected.
    bool maySelect();
    void selectAndDispatch();
    /// \returns the upstreams among which one is selected, and the selected one.
    [[nodiscard]] CandidateChoice chooseUpstream();
    /// \returns whether another upstream can take the request on.
    [[nodiscard]] bool hasAlternative();
    /// Tries another upstream, if there is one and the request may be retried. The silent one is
    /// left only once that one has accepted the request. \returns whether it did.
    bool tryElsewhere(std::string_view why);
    /// Begins a new attempt beside the current one, which may still get a response.
    void suspendAttempt(std::string_view why);
    /// Ends the current attempt and returns to the last one whose upstream is silent.
    /// \returns whether there is one.
    bool returnToSilent();
    /// Sends the request to its silent upstream again, on another connection: the first one may be
    /// dead. \returns whether it did.
    bool sendAgain();
    /// Gives up the attempts whose upstreams are silent, because the current one was accepted.
    void giveUpSilent();
    /// Gives up \a other, which is not the current attempt.
    void giveUp(RequestAttempt &other);
    /// \returns the silent attempt with that number, if there is one.
    [[nodiscard]] std::vector<RequestAttempt>::iterator findSilent(std::uint64_t number);
    /// Makes the attempt with that number, to which a response arrives, the only one.
    /// \returns false if there is none.
    bool continueWith(std::uint64_t number);
    /// Handles the head of a response to any attempt. \returns false if it belongs to another
    /// request.
    bool onHeadOf(std::uint64_t number, const MessageHead &head);
    bool onAnyHead(const MessageHead &head);
    bool onSilentHead(RequestAttempt &silent, const MessageHead &head);
    void onEndOf(std::uint64_t number, ResponseOutcome outcome);
    /// A silent attempt has ended without a response that the caller can get.
    void onSilentEnd(RequestAttempt &silent, ResponseOutcome outcome);
    /// Records the end of the current attempt, whose response the caller does not get.
    void recordAttemptEnd(ResponseOutcome outcome);
    /// Gives a stream that another upstream has accepted some time for its first event, before the
    /// silent attempts are given up. \returns whether there is such a stream.
    bool waitForAccepted();
    void logReturn(std::string_view why) const;
    /// Forwards the request if none of the upstreams that this router can connect to has room for
    /// it, and others serve other routers. \returns whether it was forwarded.
    bool forwardForLackOfReach(std::span<UpstreamState *const> candidates,
                               const std::optional<UpstreamSelection> &choice);
    /// Dispatches the request to the selected upstream, after asking its coordinator if need be.
    void dispatchWithGrant(const PlacementRequest &request,
                           std::span<UpstreamState *const> candidates,
                           const UpstreamSelection &choice);
    /// \returns where the request may be processed.
    [[nodiscard]] PlacementConstraints placementConstraints() const;
    /// \returns what of the request decides where it is sent; valid while the handler is.
    [[nodiscard]] PlacementRequest placementRequest() const;
    /// \returns whether \a upstream is still there, accepts requests and is permitted.
    [[nodiscard]] bool isUsable(const std::shared_ptr<UpstreamState> &upstream) const;
    /// \returns whether the request may be sent to \a upstream although its coordinator does not
    /// respond.
    [[nodiscard]] bool mayDispatchUnpermitted(UpstreamState &upstream) const;
    /// Records that the coordinator gave no permit for \a upstream.
    void recordPermitDenied(UpstreamState &upstream, Milliseconds wait);
    /// Refuses the request if the service is overloaded. \returns whether it was admitted.
    bool passAdmissionControl(const PlacementRequest &request, const UpstreamSelection &choice);
    /// Refuses the request if even the selected one of the permitted upstreams has its share of the
    /// service's load. \returns whether it was admitted.
    bool passLoadBound(const UpstreamSelection &choice, const UpstreamState &upstream);
    /// Asks the engine's coordinator whether the engine has room for the request.
    void requestGrant(Selection placement);
    void onCoordinatorReply(Selection placement,
                            const std::optional<EngineGrantReply> &keeperAnswer);
    [[nodiscard]] GrantTimes grantTimes() const;
    /// \returns the upstreams that were tried, and those among \a candidates whose coordinators
    /// have denied the request since.
    [[nodiscard]] std::vector<std::string>
    excludedUpstreams(std::span<UpstreamState *const> candidates) const;
    /// Asks the upstream's coordinator for a slot.
    void requestSlot(Selection placement, Milliseconds maxWait);
    void onQueueReply(Selection placement, const std::optional<QueueReply> &reply);
    /// Returns what the coordinator granted at an upstream that has become cold, and selects again.
    void requestPermitInstead(const UpstreamState &target);
    /// Sends the request without a slot if this router's share allows it, because the upstream's
    /// coordinator does not respond; otherwise asks the next one.
    void dispatchUncoordinated(const Selection &placement, UpstreamState &target);
    /// If coordinators have denied the request and no good upstream is left to ask: asks the one
    /// with the shortest wait again, with all the time that is left, or refuses the request.
    /// \returns whether it did either.
    bool waitForDeniedSlot(std::span<UpstreamState *const> candidates,
                           const std::optional<UpstreamSelection> &choice);
    void refuseForSlots();
    /// Records whether a response shows that the slots of the service do not suffice.
    void recordContention();
    /// \returns what to report to the coordinator at the end of a grant.
    [[nodiscard]] GrantRelease makeRelease(GrantEnd end) const;
    void releaseGrant(GrantEnd end = GrantEnd::Unused);
    [[nodiscard]] double promptTokens() const;
    void dispatchTo(const Selection &placement);
    void sendRequest(const std::shared_ptr<UpstreamState> &target,
                     const std::optional<Endpoint> &copyFrom);
    /// Called when the request's bytes are about to be sent to the upstream.
    void onSending();
    /// Records that the engine caches the prompt's prefixes, and notifies the other routers if that
    /// is new to them.
    void recordPrefix(std::uint64_t incarnation);
    ResponseHandlers responseHandlers();
    /// Schedules onTimer() at \a due, but no later than the deadline.
    void armTimer(TimePoint due);
    /// \returns when a silent upstream counts as faulty.
    [[nodiscard]] TimePoint silenceDeadline() const;
    void onTimer();

    bool onResponseHead(const MessageHead &head);
    void onResponseBody(std::string_view bytes);
    void onResponseEnd(ResponseOutcome end);
    void onConnectFailed();
    void recordConnectFailure();
    void recordConnectionLoss();
    void recordInvalidResponse();
    /// Records that the upstream has rejected the request.
    void recordRejection();
    /// Selects another upstream, because the one that was connected to no longer accepts requests.
    void onWithheld();
    void onNotExecuted();
    void onCompleteResponse();
    void onCompleteStream();
    void onFault(UpstreamFault fault);
    /// Waits until the upstream was probed: if it has crashed, a retry would crash the next one.
    void onConnectionLost();
    /// Retries the request after \a fault, or ends it.
    void retryOrFail(UpstreamFault fault);
    void recordUpstreamFault(UpstreamFault fault);
    /// Records what a response asks of this router.
    void recordNotice(const UpstreamResponse &head);
    /// Records what a response shows about whether the upstream is cold.
    /// Reports the load that a brittle upstream states to its coordinator.
    void reportBrittleLoad();
    void recordColdness(const UpstreamResponse &head);
    void onFirstByte();
    /// Feeds the time for which the request held its slot to the service's estimator.
    void recordHoldTime();

    /// Takes the token for one retry. \returns whether there was one.
    bool withdrawRetry(RetryNeed need);
    /// Retries on another upstream. \returns false if no time or no retry budget is left.
    bool retry(std::string_view why);
    [[nodiscard]] bool canRetry() const;
    /// Gives up the current attempt, which counts if it may have run, and selects an upstream.
    void startNextAttempt(std::string_view why);
    /// \returns false if the request is sent to an upstream again, and no other one may run it.
    [[nodiscard]] bool mayRunElsewhere() const;
    void releaseUpstream();
    /// \returns whether an upstream may have executed the request, also in part.
    [[nodiscard]] bool mayHaveRun() const;
    /// Buffers a part of a response's body, or relays its complete events to the caller. \returns
    /// false if the body is too large or malformed.
    bool processBody(std::string_view bytes);
    /// \returns whether a response belongs to the current attempt, as far as it states one.
    [[nodiscard]] bool isForThisAttempt(const UpstreamResponse &head) const;
    /// Records that an upstream has announced that it is draining.
    void recordDraining(const Replica &replica);
    /// \returns the id of the last event that the caller has received.
    [[nodiscard]] std::optional<std::uint64_t> lastReceivedEvent() const;
    /// \returns whether the response is an event stream, which is relayed as it arrives.
    [[nodiscard]] bool isRelayedStream() const noexcept;
    /// \returns whether the response bears the upstream's signature and belongs to this attempt.
    [[nodiscard]] bool isTrusted() const noexcept;
    /// Relays the complete events among \a bytes to the caller. \returns false if they are
    /// malformed.
    bool relayEvents(std::string_view bytes);

    /// Forwards the request to another router that reaches the service. \returns false if there is
    /// none, or no time is left.
    bool forward(std::string_view why);
    /// \returns the next router to forward the request to, if there is one and time is left.
    [[nodiscard]] std::optional<Endpoint> nextForwardTarget() const;
    void forwardTo(const Endpoint &target, std::string_view why);
    void sendForwarded(const Endpoint &target);
    ResponseHandlers forwardHandlers();
    /// \returns false if the response belongs to another request.
    bool onForwardHead(const MessageHead &head);
    void onForwardBody(std::string_view bytes);
    void onForwardEnd(ResponseOutcome outcome);
    /// The connection to the other router was lost after the request was sent.
    void onForwardLost();
    void onForwardTimeout();
    void forwardAgainOrFail(std::string_view why);
    /// Accepts a request that another router has forwarded, or returns it. \returns whether it was
    /// accepted.
    bool acceptForwarded();
    /// \returns the header fields of the response to the caller, or to the forwarding router.
    [[nodiscard]] std::vector<HeaderField> responseFields() const;
    void logForward(std::string_view why) const;

    void forwardResponse();
    void forwardFailure();
    void fail();
    void refuse(ErrorKind kind, std::string_view why,
                std::optional<Milliseconds> retryAfter = std::nullopt);
    void refuse(const Refusal &refusal);
    void finish(std::string_view outcome);
    [[nodiscard]] TimePoint now() const { return this->gateway.clock.now(); }
    [[nodiscard]] Milliseconds remainingTime() const;
    void logRetry(std::string_view why) const;

    GatewayState &gateway;
    std::shared_ptr<CallerConnection> caller;
    IncomingRequest incoming;
    /// What another router states, if it has forwarded the request.
    std::optional<ForwardedRequest> forwarded;
    std::optional<CallerRequest> request;
    /// Keeps alive what \a route points to.
    std::shared_ptr<const RoutingTable> routingTable;
    const Route *route = nullptr;
    std::string workspace;
    /// Areas in which requests of the workspace may be processed. Part of \a routingTable.
    std::span<const std::string> workspaceHomes;
    std::uint32_t rank = 0;
    std::string service;
    ServiceReach *reach = nullptr;
    /// Hosts of the routers that the request was forwarded to.
    std::vector<std::string> forwardHosts;
    std::vector<std::uint64_t> prefixHashes;
    RequestSuspects suspects;
    TimePoint deadline;
    asio::steady_timer timer;
    /// The attempt that is being made.
    RequestAttempt attempt{this->gateway.responseBuffers};
    /// Earlier attempts whose upstreams are silent and may still respond. They are given up once
    /// the current one was accepted.
    std::vector<RequestAttempt> silentAttempts;
    std::uint64_t lastAttemptNumber = 0;
    std::vector<std::string> triedUpstreams;
    /// The only upstream that may be selected, because the request is sent to it again; empty if
    /// all may.
    std::string onlyUpstream;
    /// Since the last event the request was sent to a silent upstream again.
    bool isSentAgain = false;
    /// Time until the next attempt at another upstream if the current one stays silent.
    Milliseconds nextTryDelay = firstTryDelay;
    /// Number of upstreams that may have executed the request.
    std::uint32_t possibleExecutions = 0;
    std::uint32_t connectFailures = 0;
    std::uint32_t rejections = 0;
    /// No upstream of the service is in a permitted data centre.
    bool hasNoPermittedPlace = false;
    /// Coordinators that rejected the request since the last attempt.
    std::uint32_t coordinatorRejections = 0;
    /// The coordinators of a contended service that were asked since the last attempt.
    GrantSequence grantSequence;
    /// The last error response of an earlier attempt. It is forwarded if no later attempt gets a
    /// response.
    std::optional<FailedResponse> failedResponse;
    StreamState stream;
    /// Nothing once the caller gets events as they arrive.
    std::optional<WithheldStream> withheld;
    /// Fields of the response with which the stream began.
    std::vector<HeaderField> streamFields;
    bool responseStarted = false;
    Duration timeToFirstByte{0};
};

} // namespace plantainswitch::gateway
