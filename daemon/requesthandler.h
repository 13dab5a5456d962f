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

/// One request on its way. Its steps follow one another, on whichever thread; only the caller's
/// leaving comes from aside.
class Passage : public std::enable_shared_from_this<Passage>
{
public:
    Passage(Node &node, std::shared_ptr<Slots> slots, std::shared_ptr<ClaimService> claims,
            std::shared_ptr<SuspectSharing> suspects, net::HttpClient &client,
            std::shared_ptr<net::HttpReply> reply);
    ~Passage();
    Passage(const Passage &) = delete;
    Passage &operator=(const Passage &) = delete;

    /// Serves the request; the passage keeps itself alive until it is answered.
    void run(net::HttpRequest http);

private:
    void admitCaller();
    void limit();
    void place();
    bool admitAgain();
    bool leftOnDispatch(const HeldSlot &held);
    /// Answers a repeat of a claim of this router. \returns whether it was one.
    bool answerRepeat();
    [[nodiscard]] ClaimId claimId() const;
    /// \returns a hash of method, service, path, query and body.
    [[nodiscard]] std::uint64_t contentHash(std::uint64_t seed = 0) const;
    void claimOrDispatch(HeldSlot held);
    void takeVerdict(const Claim &own, const ClaimReply &reply);
    void answerTaken(const Claim &holder, const OwnClaim &own);
    void endClaim(OwnState state, std::optional<KeptAnswer> answer = std::nullopt,
                  bool notRun = false);
    void endClaimRefused(Ran ran);
    void dispatch(HeldSlot held);
    net::HttpCall callTo(const Upstream &upstream) const;
    void recordTiming(Timing timing);
    void relayHeaders(int status, const net::Headers &headers);
    bool relayData(std::string_view bytes);
    bool relayStream(std::string_view bytes);
    [[nodiscard]] net::HttpEvents relayEvents();
    [[nodiscard]] bool canResume(net::HttpEnd end) const;
    /// Goes on with a broken stream from the engine that keeps it.
    void resumeStream();
    void blameCrash(const Upstream &upstream);
    void clearBlame();
    void upstreamFailed(const Upstream &upstream, net::HttpEnd end, const std::string &detail);
    void upstreamEnded(net::HttpEnd end, const std::string &detail);
    void answerWhole();
    void retryOrRefuse(const Reason &reason, bool mayRepeat);
    void cut(const Reason &reason);
    void refuseWith(const Reason &reason);
    [[nodiscard]] RefusalScope refusalScope() const;
    void releaseSlot();
    void account();
    void callerGone();
    void note(std::string step) { this->explanation.steps.push_back(std::move(step)); }

    Node &node;
    std::shared_ptr<Slots> slots;
    std::shared_ptr<ClaimService> claims;
    std::shared_ptr<SuspectSharing> suspects;
    net::HttpClient &client;
    std::shared_ptr<net::HttpReply> reply;
    TimePoint began;
    std::string id;
    CallerRequest request;
    Admission admission;
    /// Set while the request counts against its workspace's limit.
    std::optional<WorkspaceId> limited;
    std::shared_ptr<SlotNeed> need;
    std::optional<HeldSlot> slot;
    /// Set while this passage may run a claimed request.
    std::optional<Claim> claim;
    /// What a claimed stream has brought so far, for its repeats.
    std::string kept;
    std::string attempt;
    int attempts = 0;
    int resumes = 0;
    /// An attempt broke off after it may have run.
    bool mayHaveRun = false;

    int status = 0;
    net::Headers headers;
    std::string body;
    SseParser parser;
    StreamProgress progress;
    bool started = false;
    bool garbage = false;
    std::atomic<std::size_t> unflushed = 0;

    std::mutex exchangeMutex;
    std::shared_ptr<net::HttpExchange> exchange;
    std::atomic<bool> gone = false;
    Explanation explanation;
};

} // namespace plantainswitch
