#include <algorithm>

#include <catch2/catch.hpp>

#include "history.h"
#include "plan.h"

using namespace plantainswitch;
using namespace plantainswitch::soak;

namespace {

/// A history without violations; each test adds one.
class SoakHistoryFixture
{
protected:
    SoakHistoryFixture()
    {
        this->add("a1", CallKind::NonIdempotent, responseBodyFor("a1"));
        this->add("a2", CallKind::Idempotent, responseBodyFor("a2"));
        this->add("a3", CallKind::Stream, this->wholeStream("a3"));
        this->history.versions.push_back({5, SoakTime{1000}});
        this->history.revokedKeys["key-5"] = 5;
        this->history.faultFreeFrom = SoakTime{0};
        this->history.end = SoakTime{60'000};
    }

    CallRecord &add(const std::string &attempt, CallKind kind, const std::string &body,
                    SoakTime sentAt = SoakTime{20'000})
    {
        CallRecord call;
        call.attemptId = attempt;
        call.kind = kind;
        call.key = "key-0";
        call.sentAt = sentAt;
        call.endedAt = sentAt + Milliseconds{50};
        call.outcome = CallOutcome::Completed;
        call.status = 200;
        call.body = body;
        this->history.calls.push_back(call);
        this->addRun(attempt, sentAt + Milliseconds{10});
        return this->history.calls.back();
    }

    RunRecord &addRun(const std::string &attempt, SoakTime at)
    {
        this->history.runs.push_back({attempt, "u-0", at, at + Milliseconds{20}, false});
        return this->history.runs.back();
    }

    static std::string wholeStream(const std::string &attempt)
    {
        std::string all;
        for (std::size_t number = 1; number <= streamEventCount(attempt); ++number) {
            all += streamEventFor(attempt, number);
        }
        return all;
    }

    /// \returns the names of the failed checks, without consecutive duplicates.
    [[nodiscard]] std::vector<std::string> failedChecks() const
    {
        std::vector<std::string> checks;
        for (const Violation &violation : checkHistory(this->history, SoakBounds{})) {
            if (checks.empty() || checks.back() != violation.check) {
                checks.push_back(violation.check);
            }
        }
        return checks;
    }

    using Checks = std::vector<std::string>;

    SoakHistory history;
};

} // namespace

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_allPromisesKept_findsNothing", "[soak]")
{
    CHECK(this->failedChecks().empty());
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_answerOfAnotherCall_isFound", "[soak]")
{
    this->history.calls[1].body = responseBodyFor("a1");
    CHECK(this->failedChecks() == Checks{"own-answer"});
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_streamWithoutAPiece_isFound", "[soak]")
{
    this->history.faultFreeFrom = SoakTime{50'000};
    CallRecord &call = this->history.calls[2];
    call.body = streamEventFor("a3", 1) + streamEventFor("a3", 3);
    call.outcome = CallOutcome::Truncated;
    CHECK(this->failedChecks() == Checks{"own-answer"});
    call.body = streamEventFor("a3", 1) + streamEventFor("a3", 2);
    CHECK(this->failedChecks().empty());
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_cutAnswerThatLooksWhole_isFound", "[soak]")
{
    this->history.calls[0].body.pop_back();
    CHECK(this->failedChecks() == Checks{"own-answer"});
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_answerWithoutARun_isFound", "[soak]")
{
    this->history.runs.erase(this->history.runs.begin());
    CHECK(this->failedChecks() == Checks{"own-answer"});
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_onceCallRanTwice_isFound", "[soak]")
{
    this->addRun("a1", SoakTime{20'040});
    CHECK(this->failedChecks() == Checks{"at-most-once"});
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_refusedCallHasRun_isFound", "[soak]")
{
    this->history.calls[0].status = 503;
    CHECK(this->failedChecks() == Checks{"true-refusal", "calm"});
    this->history.runs.front().isRejected = true;
    CHECK(this->failedChecks() == Checks{"calm"});
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_repeatsWithoutEnd_areFound", "[soak]")
{
    for (int i = 0; i < 3; ++i) {
        this->addRun("a2", SoakTime{20'030});
    }
    CHECK(this->failedChecks() == Checks{"most-runs"});
    for (int i = 0; i < 70; ++i) {
        this->addRun("a2", SoakTime{20'030});
    }
    CHECK(this->failedChecks() == Checks{"most-runs", "retry-budget"});
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_fourthRun_isFoundUnlessAReturn", "[soak]")
{
    const std::string upstream = GENERATE("u-0", "u-1", "u-2", "u-3");
    int at = 20'030;
    for (const std::string &each : {std::string("u-1"), std::string("u-2"), upstream}) {
        this->addRun("a2", SoakTime{at += 10}).upstream = each;
    }
    const bool isReturn = upstream == "u-0" || upstream == "u-1";
    CHECK(this->failedChecks() == (isReturn ? Checks{} : Checks{"most-runs"}));
    this->addRun("a2", SoakTime{at + 10}).upstream = "u-0";
    CHECK(this->failedChecks() == Checks{"most-runs"});
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_leavingUpstreamGetsWork_isFoundUnlessHarmed",
                 "[soak]")
{
    this->history.drainingSince["u-0"] = SoakTime{10'000};
    CHECK(this->failedChecks() == Checks{"draining"});
    this->history.storeFaults.push_back({SoakTime{12'000}, SoakTime{13'000}});
    CHECK(this->failedChecks().empty());
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_configurationGoesBack_isFound", "[soak]")
{
    this->add("b1", CallKind::Idempotent, responseBodyFor("b1"), SoakTime{1500}).routeVersion = 5;
    CallRecord &later = this->add("b2", CallKind::Idempotent, {}, SoakTime{2000});
    later.routeVersion = 5;
    later.status = 404;
    CHECK(this->failedChecks() == Checks{"no-return"});
    later.incarnation = 1;
    CHECK(this->failedChecks().empty());
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_revokedKeyOpensMuchLater_isFound", "[soak]")
{
    this->history.calls[1].key = "key-5";
    CHECK(this->failedChecks() == Checks{"in-force"});
    this->history.routerFaults[0].push_back({SoakTime{18'000}, SoakTime{19'000}});
    CHECK(this->failedChecks().empty());
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_staleLongAfterASilentStore_isFound", "[soak]")
{
    // Guards against a fault just before an edit exempting a router from the check for ever.
    this->history.calls[1].key = "key-5";
    this->history.storeFaults.push_back({SoakTime{500}, SoakTime{900}});
    CHECK(this->failedChecks() == Checks{"in-force"});
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_goodKeyRefused_isFound", "[soak]")
{
    this->history.calls[1].status = 401;
    this->history.faultFreeFrom = SoakTime{50'000};
    CHECK(this->failedChecks() == Checks{"known"});
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_plannedStopCutsACall_isFoundUnlessHarmed",
                 "[soak]")
{
    this->history.faultFreeFrom = SoakTime{50'000};
    this->history.calls[0].outcome = CallOutcome::Truncated;
    this->history.calls[0].status = 0;
    this->history.plannedStops[0].push_back(SoakTime{20'020});
    CHECK(this->failedChecks() == Checks{"planned-stop"});
    this->history.upstreamFaults.push_back({SoakTime{19'000}, SoakTime{19'500}});
    CHECK(this->failedChecks().empty());
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_workForACallerThatLeft_isFound", "[soak]")
{
    this->history.calls[0].outcome = CallOutcome::Abandoned;
    this->history.runs.front().endedAt = SoakTime{30'000};
    CHECK(this->failedChecks() == Checks{"after-leaving"});
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_crashingRequestGoesOn_isFound", "[soak]")
{
    for (int i = 0; i < 12; ++i) {
        CallRecord &call = this->add("p" + std::to_string(i), CallKind::Idempotent, {});
        call.poisonId = "poison-1";
        call.status = 502;
    }
    CHECK(this->failedChecks() == Checks{"crasher"});
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_processEndsByItself_isFound", "[soak]")
{
    this->history.unexpectedExits.emplace_back("router 0 ended with signal 11");
    CHECK(this->failedChecks() == Checks{"own-end"});
}

TEST_CASE("soakPlan_sameSeed_givesTheSameSteps", "[soak]")
{
    SoakOptions options;
    options.faultSeconds = 60;
    const std::vector<FaultStep> first = generatePlan(options);
    const std::vector<FaultStep> second = generatePlan(options);
    REQUIRE(first.size() == second.size());
    std::vector<int> kinds(faultKindCount, 0);
    for (std::size_t i = 0; i < first.size(); ++i) {
        CHECK(first[i].at == second[i].at);
        CHECK(first[i].kind == second[i].kind);
        ++kinds[static_cast<std::size_t>(first[i].kind)];
    }
    CHECK(std::count(kinds.begin(), kinds.end(), 0) == 0);
}

TEST_CASE("soakPlan_writtenAndRead_isTheSame", "[soak]")
{
    const std::vector<FaultStep> plan = generatePlan(SoakOptions{});
    const auto read = parsePlan(textOf(plan));
    REQUIRE(read);
    REQUIRE(read->size() == plan.size());
    CHECK(textOf(*read) == textOf(plan));
    CHECK_FALSE(parsePlan("12 no-such-harm 1 2 0.5"));
    CHECK_FALSE(parsePlan("12 router-kill"));
}

namespace {

/// A history in which upstream u-0 asks something of router 0 in its response to call a2.
class SoakNoticesFixture : public SoakHistoryFixture
{
protected:
    static constexpr SoakTime noticedAt{20'010};
    static constexpr Milliseconds backoff{3000};

    void addNotice(Milliseconds span)
    {
        this->history.notices.push_back({"u-0", "a2", noticedAt, span});
    }

    /// Adds calls that reach u-0 through router 0 one after another from \a delay after the notice.
    void addCalls(int count, Milliseconds delay)
    {
        for (int i = 0; i < count; ++i) {
            const std::string attempt = "b" + std::to_string(this->history.calls.size());
            this->add(attempt, CallKind::Idempotent, responseBodyFor(attempt),
                      noticedAt + delay + Milliseconds{i});
        }
    }
};

} // namespace

TEST_CASE_METHOD(SoakNoticesFixture, "soakNotices_requestsDuringBackoff_areFound", "[soak]")
{
    this->addNotice(backoff);
    this->addCalls(2, Milliseconds{600});
    CHECK(this->failedChecks().empty());
    this->addCalls(1, Milliseconds{700});
    CHECK(this->failedChecks() == Checks{"backoff"});
}

TEST_CASE_METHOD(SoakNoticesFixture, "soakNotices_requestsBeforeAndAfterBackoff_areAllowed",
                 "[soak]")
{
    this->addNotice(backoff);
    this->addCalls(9, Milliseconds{100});
    this->addCalls(9, backoff);
    CHECK(this->failedChecks().empty());
}

TEST_CASE_METHOD(SoakNoticesFixture, "soakNotices_otherRouterOrIncarnation_isNotBound", "[soak]")
{
    this->addNotice(backoff);
    this->addCalls(9, Milliseconds{600});
    for (auto call = this->history.calls.end() - 9; call != this->history.calls.end(); ++call) {
        call->router = 1;
    }
    CHECK(this->failedChecks().empty());
    for (auto call = this->history.calls.end() - 9; call != this->history.calls.end(); ++call) {
        call->router = 0;
        call->incarnation = 1;
    }
    CHECK(this->failedChecks().empty());
}

TEST_CASE_METHOD(SoakNoticesFixture, "soakNotices_responseMayBeLost_isExcused", "[soak]")
{
    this->addNotice(backoff);
    this->addCalls(9, Milliseconds{600});
    CHECK(this->failedChecks() == Checks{"backoff"});
    this->history.lossyLinks["u-1"].push_back({noticedAt, noticedAt});
    CHECK(this->failedChecks() == Checks{"backoff"});
    this->history.lossyLinks["u-0"].push_back({noticedAt, noticedAt});
    CHECK(this->failedChecks().empty());
}

TEST_CASE_METHOD(SoakNoticesFixture, "soakNotices_newWorkAfterAnnouncedDraining_isFound", "[soak]")
{
    this->addNotice(Milliseconds{0});
    this->addCalls(9, Milliseconds{1900});
    CHECK(this->failedChecks().empty());
    this->addCalls(1, Milliseconds{2200});
    CHECK(this->failedChecks() == Checks{"announced-draining"});
    this->history.routerFaults[0].push_back({noticedAt + backoff / 2, noticedAt + backoff / 2});
    CHECK(this->failedChecks().empty());
}

TEST_CASE_METHOD(SoakNoticesFixture, "soakNotices_announcementNotPassedOn_doesNotBind", "[soak]")
{
    // Another upstream has given the call's answer, so that the router may have given up on the
    // first one before it responded.
    this->addNotice(Milliseconds{0});
    RunRecord other{"a2", "u-1", noticedAt + Milliseconds{5}, noticedAt + Milliseconds{9}, false};
    this->history.runs.push_back(other);
    this->addCalls(1, Milliseconds{2200});
    CHECK(this->failedChecks().empty());
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_streamGoesOnAtAnotherVersion_isFound", "[soak]")
{
    RunRecord &first = this->history.runs.back();
    first.version = "v1";
    first.firstEvent = 1;
    first.eventsSent = 2;
    CallRecord &returned = this->add("a4", CallKind::Stream, "");
    returned.resumedAttempt = "a3";
    returned.resumeAfter = streamEventCount("a3");
    RunRecord &second = this->history.runs.back();
    second.version = "v1";
    second.firstEvent = returned.resumeAfter + 1;
    CHECK(this->failedChecks().empty());
    second.version = "v2";
    CHECK(this->failedChecks() == Checks{"one-version"});
}

TEST_CASE_METHOD(SoakHistoryFixture, "soakHistory_takenUpStreamsRefused_isFound", "[soak]")
{
    for (int i = 0; i < 12; ++i) {
        const std::string attempt = "b" + std::to_string(i);
        CallRecord &returned = this->add(attempt, CallKind::Stream, "");
        returned.resumedAttempt = "a3";
        returned.resumeAfter = streamEventCount("a3");
        returned.status = i < 6 ? 200 : 503;
    }
    // So many refusals break the bound on success after all faults, too.
    CHECK(this->failedChecks() == Checks{"calm"});
    this->history.calls[this->history.calls.size() - 12].status = 503;
    CHECK(this->failedChecks() == Checks{"resumption", "calm"});
}
