#include "plantainswitch/routing/workspaceusage.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "plantainswitch/base/hash.h"

namespace plantainswitch {

namespace {

/// Resolution of the current rate, and the time that its full buckets span.
constexpr Milliseconds bucketLength{200};
constexpr double bucketSeconds = 0.2;
constexpr double fullBucketsSeconds = 1.0;
/// Time constant of the usual rate.
constexpr double usualSeconds = 30.0;
/// The same during a surge, so that a surge of seconds raises the usual rate little, and a lasting
/// change becomes usual within some minutes.
constexpr double surgingUsualSeconds = 120.0;
/// Time from the first request after which a usual rate is taken for known.
constexpr Seconds learningTime{10};
/// Time after which an entry of another router is no longer used.
constexpr Seconds reportExpiry{10};
/// Time without requests after which this router forgets a workspace.
constexpr Seconds ownRetention{600};
constexpr std::size_t maxWorkspaces = 4096;
/// Age up to which a reported rate counts fully, the interval between reports; beyond it the weight
/// decays with this time constant, because reports from other data centres are up to 5 s old.
constexpr double freshSeconds = 0.6;
constexpr double stalenessSeconds = 0.3;
/// Age from which the weight is below 1 % and the rate is left out, which spares most entries of a
/// large fleet the calculation.
constexpr Seconds staleAge{2};
/// Added to the expected number of requests: a workspace that is usually idle does not surge by its
/// first requests.
constexpr double expectedMargin = 0.5;
/// Natural logarithm of the probability by which a Poisson count must exceed its expectation only
/// by chance for a surge, 1e-6: some workspaces are compared many times per second.
constexpr double surgeLogProbability = -13.8;
/// The same for this router's own count, 1e-3. It only decides which workspaces are reported first.
constexpr double ownLogProbability = -6.9;
/// The same for the reports of the other routers, 5 %, from which all report a workspace at once.
constexpr double suspicionLogProbability = -3.0;
/// Places in a report for surging workspaces, and after them for the largest ones.
constexpr std::size_t surgingPlaces = 4;
constexpr std::size_t largePlaces = 2;
/// The largest workspaces of a router take turns in the rest of its reports. With 5 places each
/// 0.5 s the turn of each comes before its last entry expires.
constexpr std::size_t maxRotated = 32;
/// Rates above this are not plausible.
constexpr float maxRate = 1e6F;

std::int64_t bucketOf(TimePoint now)
{
    return now.time_since_epoch() / bucketLength;
}

/// \returns an upper bound (Chernoff) of the logarithm of the probability that a Poisson variable
/// with mean \a expected reaches \a observed.
double logProbability(double observed, double expected)
{
    if (observed <= expected) {
        return 0.0;
    }
    return observed - expected - observed * std::log(observed / expected);
}

bool isPlausible(float rate)
{
    return std::isfinite(rate) && rate >= 0.0F && rate <= maxRate;
}

/// \returns the weight of a rate reported \a age ago.
double freshness(Duration age)
{
    const double seconds = std::chrono::duration<double>(age).count();
    return seconds <= freshSeconds ? 1.0 : std::exp((freshSeconds - seconds) / stalenessSeconds);
}

} // namespace

void WorkspaceUsage::advance(OwnRate &rate, TimePoint now)
{
    const std::int64_t newest = bucketOf(now);
    if (newest <= rate.bucket) {
        return;
    }
    const double timeConstant = rate.isSurging ? surgingUsualSeconds : usualSeconds;
    const double decay = std::exp(-bucketSeconds / timeConstant);
    const std::int64_t steps = newest - rate.bucket;
    const auto counted = std::min<std::int64_t>(steps, bucketCount);
    for (std::int64_t i = 0; i < counted; ++i) {
        const std::int64_t leaving = rate.bucket + 1 + i - std::int64_t{bucketCount};
        std::uint32_t &count =
            rate.counts.at(static_cast<std::size_t>(rate.bucket + 1 + i) % bucketCount);
        // The first bucket is known to contain a request, and would raise the mean.
        if (leaving > rate.firstBucket) {
            rate.weightedRate = rate.weightedRate * decay + (1.0 - decay) * count / bucketSeconds;
            rate.weight = rate.weight * decay + (1.0 - decay);
        }
        count = 0;
    }
    const double idleDecay = std::pow(decay, static_cast<double>(steps - counted));
    rate.weightedRate *= idleDecay;
    rate.weight = 1.0 - (1.0 - rate.weight) * idleDecay;
    rate.bucket = newest;
}

void WorkspaceUsage::count(std::optional<OwnRate> &rate, TimePoint now)
{
    if (!rate) {
        rate.emplace(bucketOf(now));
    }
    advance(*rate, now);
    rate->counts.at(static_cast<std::size_t>(rate->bucket) % bucketCount) += 1;
    rate->lastRequest = now;
}

std::optional<WorkspaceUse> WorkspaceUsage::useOf(std::uint64_t workspace,
                                                  const std::optional<OwnRate> &rate, TimePoint now)
{
    if (!rate || bucketOf(now) - rate->firstBucket < learningTime / bucketLength) {
        return std::nullopt;
    }
    OwnRate upToNow = *rate;
    advance(upToNow, now);
    std::uint32_t requests = 0;
    for (const std::uint32_t bucket : upToNow.counts) {
        requests += bucket;
    }
    const double partial =
        std::chrono::duration<double>(now.time_since_epoch() % bucketLength).count();
    return WorkspaceUse{workspace, static_cast<float>(requests / (fullBucketsSeconds + partial)),
                        static_cast<float>(upToNow.weightedRate / upToNow.weight)};
}

void WorkspaceUsage::record(std::uint64_t workspace, TimePoint now)
{
    this->refresh(now);
    count(this->ownTotal, now);
    if (workspace == allWorkspaces) {
        return;
    }
    if (this->workspaces.size() >= maxWorkspaces && !this->workspaces.contains(workspace)) {
        this->evictOldest();
    }
    count(this->workspaces[workspace].own, now);
}

void WorkspaceUsage::applyReport(const std::string &router, std::span<const WorkspaceUse> uses,
                                 TimePoint now)
{
    const std::uint64_t key = hashOf(router);
    for (const WorkspaceUse &use : uses.first(std::min(uses.size(), maxReportedUses))) {
        if (!isPlausible(use.currentPerSecond) || !isPlausible(use.usualPerSecond)) {
            continue;
        }
        const PeerUse entry{key, now, use};
        if (use.workspace == allWorkspaces) {
            this->peerTotals[key] = entry;
            continue;
        }
        if (this->workspaces.size() >= maxWorkspaces && !this->workspaces.contains(use.workspace)) {
            this->evictOldest();
        }
        Workspace &workspace = this->workspaces[use.workspace];
        workspace.lastReport = now;
        const auto known = std::find_if(workspace.peers.begin(), workspace.peers.end(),
                                        [key](const PeerUse &peer) { return peer.router == key; });
        if (known != workspace.peers.end()) {
            *known = entry;
        } else {
            workspace.peers.push_back(entry);
        }
    }
}

WorkspaceUsage::Comparison WorkspaceUsage::compare(const Workspace &workspace, std::uint64_t key,
                                                   Scope scope, TimePoint now) const
{
    Comparison sums;
    const auto add = [&sums](const WorkspaceUse &use, const WorkspaceUse &all, double weight) {
        sums.current += weight * use.currentPerSecond;
        sums.usual += weight * use.usualPerSecond;
        sums.allCurrent += weight * all.currentPerSecond;
        sums.allUsual += weight * all.usualPerSecond;
    };
    const auto ownUse = useOf(key, workspace.own, now);
    const auto ownAll = useOf(allWorkspaces, this->ownTotal, now);
    if (scope != Scope::PeersNow && ownUse && ownAll) {
        add(*ownUse, *ownAll, 1.0);
    }
    const Duration maxAge = scope == Scope::FleetUsual ? reportExpiry : staleAge;
    for (const PeerUse &peer : workspace.peers) {
        const Duration age = now - peer.receivedAt;
        if (age >= maxAge) {
            continue;
        }
        const auto all = this->peerTotals.find(peer.router);
        if (all != this->peerTotals.end()) {
            add(peer.use, all->second.use, scope == Scope::FleetUsual ? 1.0 : freshness(age));
        }
    }
    return sums;
}

double WorkspaceUsage::expectedIn(const Comparison &sums)
{
    const double othersCurrent = std::max(0.0, sums.allCurrent - sums.current);
    const double othersUsual = std::max(0.0, sums.allUsual - sums.usual);
    // A decrease of the others makes no surge of a rate that stays.
    const double increase =
        std::max(1.0, (othersCurrent + expectedMargin) / (othersUsual + expectedMargin));
    return increase * sums.usual + expectedMargin;
}

bool WorkspaceUsage::isSuspected(const Workspace &workspace, std::uint64_t key, TimePoint now) const
{
    const Comparison sums = this->compare(workspace, key, Scope::PeersNow, now);
    return logProbability(sums.current, expectedIn(sums)) <= suspicionLogProbability;
}

double WorkspaceUsage::surge(std::uint64_t workspace, TimePoint now) const
{
    const auto found = this->workspaces.find(workspace);
    if (found == this->workspaces.end()) {
        return 1.0;
    }
    const Comparison sums = this->compare(found->second, workspace, Scope::FleetNow, now);
    const double expected = expectedIn(sums);
    if (logProbability(sums.current, expected) > surgeLogProbability) {
        return 1.0;
    }
    return std::min(maxSurge, sums.current / expected);
}

double WorkspaceUsage::usualShare(std::uint64_t workspace, TimePoint now) const
{
    const auto found = this->workspaces.find(workspace);
    const Comparison sums = found == this->workspaces.end()
                                ? Comparison{}
                                : this->compare(found->second, workspace, Scope::FleetUsual, now);
    if (sums.usual <= 0.0 || sums.allUsual <= 0.0) {
        return 1.0 / static_cast<double>(std::max<std::size_t>(1, this->workspaces.size()));
    }
    return std::min(1.0, sums.usual / sums.allUsual);
}

std::vector<WorkspaceSurge> WorkspaceUsage::surges(std::size_t most, TimePoint now) const
{
    std::vector<WorkspaceSurge> surging;
    for (const auto &[key, workspace] : this->workspaces) {
        const double factor = this->surge(key, now);
        if (factor >= unusualSurge) {
            surging.push_back({key, factor});
        }
    }
    std::ranges::sort(surging, std::greater{}, &WorkspaceSurge::surge);
    surging.resize(std::min(most, surging.size()));
    return surging;
}

std::vector<WorkspaceUse> WorkspaceUsage::report(std::size_t most, TimePoint now)
{
    this->refresh(now);
    const auto all = useOf(allWorkspaces, this->ownTotal, now);
    if (!all || most == 0) {
        return {};
    }
    std::vector<WorkspaceUse> uses{*all};
    for (const std::uint64_t key : this->reported) {
        const auto found = this->workspaces.find(key);
        const auto use =
            found == this->workspaces.end() ? std::nullopt : useOf(key, found->second.own, now);
        if (use && uses.size() < most) {
            uses.push_back(*use);
        }
    }
    return uses;
}

void WorkspaceUsage::refresh(TimePoint now)
{
    const std::int64_t interval = now.time_since_epoch() / usageReportInterval;
    if (interval == this->refreshedInterval) {
        return;
    }
    this->refreshedInterval = interval;
    this->removeExpired(now);
    if (this->ownTotal) {
        advance(*this->ownTotal, now);
    }
    for (auto &[key, workspace] : this->workspaces) {
        if (workspace.own) {
            workspace.own->isSurging = this->surge(key, now) >= unusualSurge;
            advance(*workspace.own, now);
        }
    }
    this->chooseReported(now);
}

void WorkspaceUsage::removeExpired(TimePoint now)
{
    const auto isExpired = [now](const PeerUse &peer) {
        return now - peer.receivedAt >= reportExpiry;
    };
    std::erase_if(this->peerTotals,
                  [&isExpired](const auto &entry) { return isExpired(entry.second); });
    for (auto &[key, workspace] : this->workspaces) {
        std::erase_if(workspace.peers, isExpired);
        if (workspace.own && now - workspace.own->lastRequest >= ownRetention) {
            workspace.own.reset();
        }
    }
    std::erase_if(this->workspaces, [](const auto &entry) {
        return !entry.second.own && entry.second.peers.empty();
    });
}

void WorkspaceUsage::evictOldest()
{
    const auto lastUse = [](const auto &entry) {
        const Workspace &workspace = entry.second;
        return workspace.own ? std::max(workspace.own->lastRequest, workspace.lastReport)
                             : workspace.lastReport;
    };
    const auto oldest = std::min_element(
        this->workspaces.begin(), this->workspaces.end(),
        [&lastUse](const auto &a, const auto &b) { return lastUse(a) < lastUse(b); });
    if (oldest != this->workspaces.end()) {
        this->workspaces.erase(oldest);
    }
}

void WorkspaceUsage::chooseReported(TimePoint now)
{
    std::vector<WorkspaceUse> surging;
    std::vector<WorkspaceUse> others;
    for (const auto &[key, workspace] : this->workspaces) {
        const auto use = useOf(key, workspace.own, now);
        if (!use) {
            continue;
        }
        // Most routers' own counts are noise. If their highest counts were reported first, the sum
        // of the reports would be too high; a surge that others hint at, or one that is significant
        // here, does not select by noise.
        const bool isSignificant =
            logProbability(use->currentPerSecond, use->usualPerSecond + expectedMargin)
            <= ownLogProbability;
        const bool isFirst =
            workspace.own->isSurging || isSignificant || this->isSuspected(workspace, key, now);
        (isFirst ? surging : others).push_back(*use);
    }
    std::ranges::sort(surging, std::greater{}, &WorkspaceUse::currentPerSecond);
    const std::size_t first = std::min(surging.size(), surgingPlaces);
    others.insert(others.end(), std::next(surging.begin(), static_cast<std::ptrdiff_t>(first)),
                  surging.end());
    std::ranges::sort(others, std::greater{}, &WorkspaceUse::usualPerSecond);
    others.resize(std::min(others.size(), maxRotated + largePlaces));
    const std::size_t large = std::min(others.size(), largePlaces);

    this->reported.clear();
    for (std::size_t i = 0; i < first; ++i) {
        this->reported.push_back(surging[i].workspace);
    }
    for (std::size_t i = 0; i < large; ++i) {
        this->reported.push_back(others[i].workspace);
    }
    const auto rotated = std::span(others).subspan(large);
    std::ranges::sort(rotated, std::less{}, &WorkspaceUse::workspace);
    const auto next = std::ranges::upper_bound(rotated, this->rotationCursor, std::less{},
                                               &WorkspaceUse::workspace);
    std::rotate(rotated.begin(), next, rotated.end());
    for (const WorkspaceUse &use : rotated) {
        if (this->reported.size() + 1 >= maxReportedUses) {
            break;
        }
        this->reported.push_back(use.workspace);
        this->rotationCursor = use.workspace;
    }
}

} // namespace plantainswitch
