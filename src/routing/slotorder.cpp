#include "plantainswitch/routing/slotorder.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace plantainswitch {

namespace {

/// Requests that a workspace may be behind its share. Without credit, its bursts wait behind those
/// of a surging workspace; with much, an idle workspace delays the others by its burst.
constexpr double burstCredit = 8.0;
constexpr double usualWeightSmoothing = 0.05;
/// Lower bound of a weight, in usual weights. Without it, a workspace that hardly ever sent
/// requests would get none but its first ones through.
constexpr double minRelativeWeight = 0.1;
constexpr double stretchSmoothing = 0.1;
constexpr double maxStretch = 16.0;
constexpr std::size_t maxFlows = 8192;

} // namespace

double SlotOrder::weightOf(double stated) noexcept
{
    if (!std::isfinite(stated) || stated <= 0.0) {
        return this->usualWeight > 0.0 ? this->usualWeight : 1.0;
    }
    if (this->usualWeight <= 0.0) {
        this->usualWeight = stated;
    }
    this->usualWeight += usualWeightSmoothing * (stated - this->usualWeight);
    return std::max(stated, minRelativeWeight * this->usualWeight);
}

void SlotOrder::insert(std::uint64_t workspace, double weight, const SlotRank &rank)
{
    Flow &flow = this->activate(workspace, weight);
    this->unlink(workspace, flow);
    flow.waiting.insert(rank);
    this->link(workspace, flow);
    ++this->length;
}

void SlotOrder::erase(std::uint64_t workspace, const SlotRank &rank)
{
    Flow &flow = this->flows.at(workspace);
    this->unlink(workspace, flow);
    this->length -= flow.waiting.erase(rank);
    this->link(workspace, flow);
}

void SlotOrder::charge(std::uint64_t workspace, double weight)
{
    Flow &flow = this->activate(workspace, weight);
    this->unlink(workspace, flow);
    this->virtualTime = std::max(this->virtualTime, flow.startTag);
    flow.startTag += 1.0 / flow.weight;
    this->link(workspace, flow);
    if (++this->chargesSinceRemoval >= this->flows.size()) {
        this->chargesSinceRemoval = 0;
        this->removePassedFlows();
    }
}

void SlotOrder::recordWait(std::uint64_t workspace, double ratio)
{
    if (const auto found = this->flows.find(workspace); found != this->flows.end()) {
        double &stretch = found->second.stretch;
        stretch = std::clamp(stretch + stretchSmoothing * (ratio - stretch), 1.0, maxStretch);
    }
}

std::optional<std::uint64_t> SlotOrder::next() const
{
    return this->waitingFlows.empty() ? std::nullopt
                                      : std::optional{std::get<1>(*this->waitingFlows.begin())};
}

double SlotOrder::expectedTurns(std::uint64_t workspace, double weight, const SlotRank &rank) const
{
    double ahead = 0.0;
    double ownTag = this->firstTag(weight);
    if (const auto own = this->flows.find(workspace); own != this->flows.end()) {
        const Flow &flow = own->second;
        ahead = static_cast<double>(
            std::distance(flow.waiting.begin(), flow.waiting.lower_bound(rank)));
        ownTag = (flow.waiting.empty() ? std::max(flow.startTag, ownTag) : flow.startTag)
                 + ahead / weight;
    }
    for (const auto &[startTag, number, id] : this->waitingFlows) {
        if (startTag > ownTag) {
            break;
        }
        if (id != workspace) {
            const Flow &flow = this->flows.at(id);
            const double earlier = std::floor((ownTag - flow.startTag) * flow.weight) + 1.0;
            ahead += std::min(earlier, static_cast<double>(flow.waiting.size()));
        }
    }
    return (ahead + 1.0) * this->stretch(workspace);
}

double SlotOrder::stretch(std::uint64_t workspace) const
{
    const auto found = this->flows.find(workspace);
    return found == this->flows.end() ? 1.0 : found->second.stretch;
}

SlotOrder::Flow &SlotOrder::activate(std::uint64_t workspace, double weight)
{
    const auto [found, isNew] = this->flows.try_emplace(workspace);
    Flow &flow = found->second;
    flow.weight = weight;
    if (isNew) {
        flow.startTag = this->firstTag(weight);
    } else if (flow.waiting.empty()) {
        flow.startTag = std::max(flow.startTag, this->firstTag(weight));
    }
    return flow;
}

void SlotOrder::link(std::uint64_t workspace, const Flow &flow)
{
    if (!flow.waiting.empty()) {
        this->waitingFlows.emplace(flow.startTag, std::get<2>(*flow.waiting.begin()), workspace);
    }
}

void SlotOrder::unlink(std::uint64_t workspace, const Flow &flow)
{
    if (!flow.waiting.empty()) {
        this->waitingFlows.erase({flow.startTag, std::get<2>(*flow.waiting.begin()), workspace});
    }
}

double SlotOrder::firstTag(double weight) const noexcept
{
    return this->virtualTime - burstCredit / weight;
}

void SlotOrder::removePassedFlows()
{
    // Removing them earlier would let a workspace start afresh each time its queue becomes empty.
    std::erase_if(this->flows, [this](const auto &item) {
        const Flow &flow = item.second;
        return flow.waiting.empty() && flow.startTag <= this->firstTag(flow.weight);
    });
    if (this->flows.size() > maxFlows) {
        std::erase_if(this->flows, [](const auto &item) { return item.second.waiting.empty(); });
    }
}

} // namespace plantainswitch
