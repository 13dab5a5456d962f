#include <memory>
#include <random>

#include <catch2/catch.hpp>

#include "plantainswitch/routing/reachability.h"
#include "plantainswitch/routing/selection.h"

using namespace plantainswitch;

namespace {

constexpr std::string_view cutPlace = "hall-f";

/// A router of a large fleet with six data centres, each with 30 routers and 13 engines. It sends
/// few requests to each engine.
class CutDataCentreFixture
{
protected:
    CutDataCentreFixture()
    {
        this->clock.advance(Seconds{1000});
        for (const std::string place :
             {"hall-a", "hall-b", "hall-c", "hall-d", "hall-e", "hall-f"}) {
            for (int number = 0; number < enginesInPlace; ++number) {
                auto state = std::make_unique<UpstreamState>();
                state->replica.id = place + "-engine-" + std::to_string(number);
                state->replica.dataCentre = place;
                state->replica.maxConcurrency = 12;
                (place == cutPlace ? this->behindCut : this->others).push_back(state.get());
                this->upstreams.push_back(state.get());
                this->engines.push_back(std::move(state));
            }
        }
    }

    /// Delivers the updates of one turn: routers of the own data centre send one each half second,
    /// the others one each 2.7 s.
    void receiveUpdates(int turn, bool isCut)
    {
        int address = 0;
        for (const std::string place :
             {"hall-a", "hall-b", "hall-c", "hall-d", "hall-e", "hall-f"}) {
            for (int number = 0; number < routersInPlace; ++number, ++address) {
                const int every = place == "hall-a" ? 5 : 27;
                const bool isLost = isCut && place == cutPlace;
                if (!isLost && turn % every == address % every) {
                    RouterContact &contact = this->contacts.recordReceived(
                        {"10.0.0." + std::to_string(address), 7000}, this->clock.now());
                    contact.id = place + std::to_string(number);
                    contact.dataCentre = place;
                }
            }
        }
    }

    [[nodiscard]] DataCentreReachability reach() const
    {
        const TimePoint now = this->clock.now();
        const auto places = this->contacts.otherDataCentres(now);
        const auto known = places.find(std::string(cutPlace));
        REQUIRE(known != places.end());
        return reachabilityOf(evidenceOf(known->second, this->behindCut, {}, this->contacts, now),
                              now);
    }

    /// Selects an upstream for one request with one of many shared prefixes. \returns whether it
    /// went to the data centre that is cut off.
    bool place(bool isCut)
    {
        const TimePoint now = this->clock.now();
        const Prompt prompt{"m", {{1, 2500}, {this->random() % 1000 + 10, 6000}, {2, 500}}, 50};
        const std::vector<std::uint64_t> chain = prefixHashesOf(prompt);
        const auto choice = selectUpstream(this->upstreams, {"hall-a", 0, &prompt, chain, {}},
                                           this->memory, this->policy, now);
        REQUIRE(choice);
        UpstreamState &chosen = *this->upstreams[choice->index];
        if (isCut && chosen.replica.dataCentre == cutPlace) {
            recordFault(chosen.health, UpstreamFault::Unreachable, now);
            return true;
        }
        chosen.lastReceived = now;
        recordSuccess(chosen.health, Duration{0}, now);
        return false;
    }

    /// Applies the reachability to the upstreams as a router does; its probes fail.
    void judge()
    {
        const TimePoint until = this->clock.now() + Milliseconds{600};
        const DataCentreReachability reach = this->reach();
        if (reach == DataCentreReachability::Unresponsive) {
            recordDataCentreUnreachable(this->behindCut.front()->health, until);
        }
        if (reach == DataCentreReachability::Unreachable) {
            for (UpstreamState *const upstream : this->behindCut) {
                recordDataCentreUnreachable(upstream->health, until);
            }
        }
    }

    /// Simulates a partition of some seconds. \returns the number of requests sent to the data
    /// centre that is cut off.
    int play(bool isJudged)
    {
        constexpr int turnsBefore = 100;
        constexpr int turnsCut = 55;
        int lost = 0;
        for (int turn = 0; turn < turnsBefore + turnsCut; ++turn) {
            const bool isCut = turn >= turnsBefore;
            this->receiveUpdates(turn, isCut);
            if (isJudged) {
                this->judge();
            }
            lost += this->place(isCut) ? 1 : 0;
            this->clock.advance(Milliseconds{100});
        }
        return lost;
    }

    static constexpr int enginesInPlace = 13;
    static constexpr int routersInPlace = 30;
    ManualClock clock;
    RouterContacts contacts{"router-own", "hall-a"};
    std::vector<std::unique_ptr<UpstreamState>> engines;
    std::vector<UpstreamState *> upstreams;
    std::vector<UpstreamState *> behindCut;
    std::vector<UpstreamState *> others;
    PrefixIndex memory;
    SelectionPolicy policy;
    std::mt19937_64 random{20'261'203};
};

} // namespace

TEST_CASE_METHOD(CutDataCentreFixture, "reachability_dataCentreCutUnderLoad_costsFewRequests",
                 "[routing]")
{
    // A data centre is cut off from a fleet whose routers each send it a few requests per second.
    // Guards against each router detecting this engine by engine, with a timeout for each.
    CHECK(this->play(true) <= 3);
}

TEST_CASE_METHOD(CutDataCentreFixture, "reachability_notJudged_patternCostsManyRequests",
                 "[routing]")
{
    CHECK(this->play(false) > 5);
}

TEST_CASE_METHOD(CutDataCentreFixture, "reachability_onlyThisRouterStoodStill_nothingIsCutOff",
                 "[routing]")
{
    // Guards against a paused or overloaded router that takes its own pause for a partition.
    for (int turn = 0; turn < 60; ++turn) {
        this->receiveUpdates(turn, false);
        this->clock.advance(Milliseconds{100});
    }
    recordFault(this->behindCut.front()->health, UpstreamFault::Unreachable, this->clock.now());
    this->clock.advance(Milliseconds{900});
    CHECK(this->reach() == DataCentreReachability::Reachable);
}

TEST_CASE("reachability_silentDataCentre_isCutOffOnlyIfConnectionsFail", "[routing]")
{
    ManualClock clock;
    clock.advance(Seconds{100});
    DataCentreEvidence evidence;
    evidence.lastReceived = clock.now();
    evidence.updateInterval = Milliseconds{90};
    evidence.localUpdates = minLocalUpdates;
    evidence.hasConnectFailures = true;
    CHECK(reachabilityOf(evidence, clock.now()) == DataCentreReachability::Reachable);
    clock.advance(unresponsiveTimeout(evidence.updateInterval));
    CHECK(reachabilityOf(evidence, clock.now()) == DataCentreReachability::Unreachable);
    evidence.hasConnectFailures = false;
    CHECK(reachabilityOf(evidence, clock.now()) == DataCentreReachability::Unresponsive);
    evidence.lastReceived = {};
    CHECK(reachabilityOf(evidence, clock.now()) == DataCentreReachability::Reachable);
}

TEST_CASE("reachability_answerFromThere_endsTheMark", "[routing]")
{
    // Guards against a data centre that gets no requests after the partition has ended.
    ManualClock clock;
    clock.advance(Seconds{100});
    UpstreamState upstream;
    upstream.replica.dataCentre = std::string(cutPlace);
    recordDataCentreUnreachable(upstream.health, clock.now() + Milliseconds{600});
    CHECK(connectFailureCount(upstream.health, clock.now()) == 1);
    clock.advance(Milliseconds{600});
    CHECK(connectFailureCount(upstream.health, clock.now()) == 0);
}
