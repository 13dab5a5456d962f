#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "httpclient.h"
#include "httpserver.h"

#include "callerrequest.h"
#include "claimservice.h"
#include "node.h"
#include "refusal.h"
#include "slotclient.h"
#include "suspectbroadcaster.h"

namespace plantainswitch {

/// Handles one request from its parsing to the end of its answer. The steps run one after another,
/// on any worker thread; only onCallerGone() may run concurrently with them.
class RequestHandler : public std::enable_shared_from_this<RequestHandler>
{
public:
    RequestHandler(Node &node, std::shared_ptr<SlotClient> slots,
                   std::shared_ptr<ClaimService> claims,
                   std::shared_ptr<SuspectBroadcaster> suspects, net::HttpClient &client,
                   std::shared_ptr<net::HttpResponder> reply);
    ~RequestHandler();
    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;

    /// Handles the request. The handler keeps itself alive until the request is answered.
    void run(net::HttpRequest http);

private:
    void admitCaller();
    void checkLimits();
    void acquireSlot();
    bool readmit();
    bool rerouteIfStale(const HeldSlot &held);
    /// Answers a request whose idempotency key this router has claimed before.
    /// \returns whether the request was answered or refused here.
    bool respondToDuplicate();
    [[nodiscard]] ClaimId claimId() const;
    /// \returns a hash of method, service, path, query and body.
    [[nodiscard]] std::uint64_t contentHash(std::uint64_t seed = 0) const;
    void claimOrDispatch(HeldSlot held);
    void handleClaimReply(const Claim &own, const ClaimReply &reply);
    void respondFromHolder(const Claim &holder, const OwnClaim &own);
    void endClaim(OwnClaimState state, std::optional<CachedResponse> answer = std::nullopt,
                  bool notRun = false);
    void endClaimAfterRefusal(ExecutionStatus ran);
    void dispatch(HeldSlot held);
    net::HttpCall buildUpstreamCall(const Upstream &upstream) const;
    void recordTiming(Timing timing);
    void relayHeaders(int status, const net::Headers &headers);
    bool relayData(std::string_view bytes);
    bool relayStream(std::string_view bytes);
    /// Breaks off a response that cannot be passed on.
    void rejectResponse();
    [[nodiscard]] net::HttpEvents relayEvents();
    [[nodiscard]] bool canResume(net::HttpOutcome end) const;
    /// Resumes a broken stream at the engine that keeps it.
    void resumeStream();
    void reportCrash(const Upstream &upstream);
    void clearSuspicion();
    void handleUpstreamFailure(const Upstream &upstream, net::HttpOutcome end,
                               const std::string &detail);
    void handleUpstreamEnd(net::HttpOutcome end, const std::string &detail);
    void completeResponse();
    void retryOrRefuse(const Reason &reason, bool mayRepeat);
    void abortResponse(const Reason &reason);
    void refuseWith(const Reason &reason);
    [[nodiscard]] RefusalScope refusalScope() const;
    void releaseSlot();
    void storeExplanation();
    void onCallerGone();
    void addStep(std::string step) { this->explanation.steps.push_back(std::move(step)); }

    Node &node;
    std::shared_ptr<SlotClient> slots;
    std::shared_ptr<ClaimService> claims;
    std::shared_ptr<SuspectBroadcaster> suspects;
    net::HttpClient &client;
    std::shared_ptr<net::HttpResponder> responder;
    TimePoint startedAt;
    std::string requestId;
    CallerRequest request;
    Authorization admission;
    /// Set while the request counts against its workspace's limit.
    std::optional<WorkspaceId> limitedWorkspace;
    std::shared_ptr<SlotRequirements> slotRequirements;
    std::optional<HeldSlot> slot;
    /// Set while this handler holds the claim that permits it to run the request.
    std::optional<Claim> claim;
    /// Events of a claimed request's stream so far, kept to answer repeats of the request.
    std::string keptStream;
    std::string attemptId;
    int attemptCount = 0;
    int resumeCount = 0;
    /// An earlier attempt failed after the upstream may have run the request.
    bool mayHaveRun = false;

    int status = 0;
    net::Headers headers;
    std::string body;
    SseParser parser;
    StreamProgress progress;
    bool streamStarted = false;
    bool responseInvalid = false;
    std::atomic<std::size_t> unflushedBytes = 0;

    std::mutex exchangeMutex;
    std::shared_ptr<net::HttpExchange> exchange;
    std::atomic<bool> callerGone = false;
    Explanation explanation;
};

} // namespace plantainswitch
