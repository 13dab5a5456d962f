#include <memory>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "plantainswitch/routing/selection.h"
#include "plantainswitch/routing/upstreamnotices.h"
#include "upstreamregistry.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

namespace {

constexpr Milliseconds backoff{3000};

/// A registry with one upstream that is listed as ready.
class UpstreamNoticesFixture
{
protected:
    UpstreamNoticesFixture()
        : registry(this->context, this->clock)
    {
        this->replica.id = "i-1";
        this->replica.startTime = 100;
        this->replica.service = "model";
        this->replica.endpoint = {"127.0.0.1", 1};
        this->change(ReplicaChange::Added);
    }

    void change(ReplicaChange change) { this->registry.apply({{change, this->replica}}); }
    [[nodiscard]] const UpstreamState &state() const { return *this->registry.find("i-1"); }
    [[nodiscard]] bool accepts() const { return acceptsRequests(this->state(), this->clock.now()); }

    asio::io_context context;
    ManualClock clock;
    UpstreamRegistry registry;
    Replica replica;
};

} // namespace

TEST_CASE_METHOD(UpstreamNoticesFixture, "backoff_untilItsEnd_isInForce", "[notices]")
{
    CHECK(this->accepts());
    this->registry.recordBackoff(this->replica, backoff);
    this->clock.advance(backoff - Milliseconds{1});
    CHECK_FALSE(this->accepts());
    this->clock.advance(Milliseconds{1});
    CHECK(this->accepts());
}

TEST_CASE_METHOD(UpstreamNoticesFixture, "backoff_shorterOneLater_doesNotEndIt", "[notices]")
{
    // Guards against a second rejection that ends the time which an earlier one asked for.
    this->registry.recordBackoff(this->replica, backoff);
    this->registry.recordBackoff(this->replica, Milliseconds{1});
    this->clock.advance(Milliseconds{2});
    CHECK_FALSE(this->accepts());
}

TEST_CASE_METHOD(UpstreamNoticesFixture, "notices_entryLapsesAndReturns_areInForce", "[notices]")
{
    // Guards against new requests to a draining upstream, or one in its back-off, whose entry
    // lapsed during an outage of the store, or was shown again by a late list.
    this->registry.recordBackoff(this->replica, backoff);
    this->change(ReplicaChange::Removed);
    this->change(ReplicaChange::Added);
    CHECK_FALSE(this->accepts());
    this->clock.advance(backoff);
    CHECK(this->accepts());
    this->registry.recordDraining(this->replica);
    this->change(ReplicaChange::Removed);
    this->change(ReplicaChange::Added);
    CHECK_FALSE(this->accepts());
    this->change(ReplicaChange::Moved);
    CHECK_FALSE(this->accepts());
    this->change(ReplicaChange::ColdTime);
    CHECK_FALSE(this->accepts());
}

TEST_CASE_METHOD(UpstreamNoticesFixture, "notices_receivedWhileUnlisted_areInForceOnReturn",
                 "[notices]")
{
    // Guards against losing what a running request's response says after the upstream's entry has
    // lapsed.
    this->change(ReplicaChange::Removed);
    this->registry.recordDraining(this->replica);
    this->registry.recordBackoff(this->replica, backoff);
    this->change(ReplicaChange::Added);
    CHECK(isDraining(this->state()));
    CHECK(isBackingOff(this->state(), this->clock.now()));
}

TEST_CASE_METHOD(UpstreamNoticesFixture, "notices_upstreamRestarts_onlyTheBackoffHolds",
                 "[notices]")
{
    // Guards against an upstream that stays unused after a restart under its id, and against
    // requests to one that asked for a back-off just before or after a restart not yet learnt of.
    this->registry.recordDraining(this->replica);
    this->registry.recordBackoff(this->replica, backoff);
    this->replica.startTime += 1;
    this->change(ReplicaChange::Restarted);
    CHECK_FALSE(this->accepts());
    this->clock.advance(backoff);
    CHECK(this->accepts());
}

TEST_CASE_METHOD(UpstreamNoticesFixture, "draining_ofAnEarlierIncarnation_isNoticeOfThatOnly",
                 "[notices]")
{
    const Replica earlier = this->replica;
    this->replica.startTime += 1;
    this->change(ReplicaChange::Restarted);
    this->registry.recordDraining(earlier);
    CHECK(this->accepts());
}

TEST_CASE("drainingNotices_ofManyIncarnations_areBounded", "[notices]")
{
    // Guards against memory that grows with each upstream that was ever replaced.
    UpstreamNotices notices;
    Replica replica;
    replica.id = "i-1";
    for (std::size_t i = 0; i <= maxDrainingNotices; ++i) {
        replica.startTime = i;
        CHECK(notices.recordDraining(replica));
    }
    CHECK_FALSE(notices.recordDraining(replica));
    replica.startTime = 0;
    CHECK_FALSE(notices.isDraining(replica));
}

namespace {

/// Nine engines of one service, some of which back off.
class BackoffLoadFixture
{
protected:
    BackoffLoadFixture()
    {
        for (std::size_t i = 0; i < 9; ++i) {
            auto state = std::make_unique<UpstreamState>();
            state->replica.id = "engine-" + std::to_string(i);
            state->replica.dataCentre = "hall-a";
            state->replica.maxConcurrency = 48;
            this->pointers.push_back(state.get());
            this->engines.push_back(std::move(state));
        }
    }

    void backOff(std::size_t index) { this->pointers[index]->backoffUntil = this->end; }

    [[nodiscard]] std::optional<UpstreamSelection> choose(std::uint64_t subject) const
    {
        const Prompt prompt{"m", {{1000, 2500}, {subject, 6000}, {subject << 20U, 500}}, 50};
        const auto hashes = prefixHashesOf(prompt);
        return selectUpstream(this->pointers, {"hall-a", 0, &prompt, hashes, {}}, this->memory, {},
                              this->clock.now());
    }

    ManualClock clock;
    TimePoint end = this->clock.now() + backoff;
    std::vector<std::unique_ptr<UpstreamState>> engines;
    std::vector<UpstreamState *> pointers;
    PrefixIndex memory;
};

} // namespace

TEST_CASE_METHOD(BackoffLoadFixture, "load_someEnginesRejectAll_theirPrefixesAreServedByTheOthers",
                 "[notices]")
{
    // The pattern: a part of the engines rejects each request within a few milliseconds for
    // seconds, and therefore looks idle. Guards against engines that attract requests by rejecting
    // them.
    for (std::size_t i = 3; i < 9; ++i) {
        this->pointers[i]->peersRunning = 6;
    }
    for (std::size_t i = 0; i < 3; ++i) {
        this->backOff(i);
    }
    for (std::uint64_t subject = 1; subject <= 100; ++subject) {
        const auto choice = this->choose(subject);
        REQUIRE(choice);
        CHECK(choice->index >= 3);
    }
}

TEST_CASE_METHOD(BackoffLoadFixture, "load_someEnginesBackOff_boundIsThatOfTheWholeService",
                 "[notices]")
{
    // Guards against an engine that runs more than its multiple of the service's mean because the
    // mean was taken over the engines left alone.
    for (std::size_t i = 3; i < 9; ++i) {
        this->pointers[i]->peersRunning = 6;
    }
    const auto before = this->choose(1);
    for (std::size_t i = 0; i < 3; ++i) {
        this->backOff(i);
    }
    const auto after = this->choose(1);
    REQUIRE(before);
    REQUIRE(after);
    CHECK(after->loadBound == before->loadBound);
    CHECK(after->occupancy == Approx(before->occupancy * 9.0 / 6.0));
}

TEST_CASE_METHOD(BackoffLoadFixture, "load_allEnginesBackOff_firstEndIsTheTimeToReturn",
                 "[notices]")
{
    const TimePoint now = this->clock.now();
    for (std::size_t i = 0; i < 8; ++i) {
        this->pointers[i]->backoffUntil = this->end + Milliseconds{100 * i};
    }
    CHECK_FALSE(timeToFirstBackoffEnd(this->pointers, now));
    this->pointers[8]->announcedDraining = true;
    CHECK_FALSE(this->choose(1));
    CHECK(timeToFirstBackoffEnd(this->pointers, now) == backoff);
    for (UpstreamState *const state : this->pointers) {
        state->announcedDraining = true;
    }
    CHECK_FALSE(timeToFirstBackoffEnd(this->pointers, now));
}

TEST_CASE_METHOD(BackoffLoadFixture, "transfer_engineBacksOff_isNoSource", "[notices]")
{
    // Guards against a transfer that makes an engine work which wants nothing from this router.
    const Prompt prompt{"m", {{1000, 2500}, {7, 6000}, {7 << 20U, 500}}, 50};
    const auto hashes = prefixHashesOf(prompt);
    for (UpstreamState *const state : this->pointers) {
        state->peersRunning = 1;
    }
    this->pointers[0]->peersRunning = 40;
    this->memory.recordUse(hashes, incarnationOf(this->pointers[0]->replica), this->clock.now());
    const auto before = this->choose(7);
    REQUIRE(before);
    REQUIRE(before->transferSource == 0U);
    this->backOff(0);
    const auto after = this->choose(7);
    REQUIRE(after);
    CHECK_FALSE(after->transferSource);
}
