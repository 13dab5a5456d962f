#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

#include "plantainswitch/base/clock.h"

namespace plantainswitch {

/// Rank of a request within its workspace: priority (0 is the most urgent), time of the objective,
/// number in order of arrival.
using SlotRank = std::tuple<std::uint32_t, TimePoint, std::uint64_t>;

/// Order of the requests that wait for a slot: start-time fair queueing across workspaces.
///
/// Each grant advances its workspace's virtual time by the inverse of the weight, and the workspace
/// that is furthest behind is next. A workspace may be a few requests behind: those of a small
/// workspace arrive in bursts, and without credit for the time before, a part of them would wait as
/// if the workspace surged.
class SlotOrder
{
public:
    /// Records the weight that a request states.
    /// \returns the weight to use; with 0 or an invalid one, the mean of those stated lately.
    double weightOf(double stated) noexcept;
    void insert(std::uint64_t workspace, double weight, const SlotRank &rank);
    void erase(std::uint64_t workspace, const SlotRank &rank);
    /// Advances the virtual time of a workspace by one grant.
    void charge(std::uint64_t workspace, double weight);
    /// Adjusts the stretch of a workspace.
    /// \param ratio of a wait to the one that the turns without stretch let expect
    void recordWait(std::uint64_t workspace, double ratio);

    [[nodiscard]] bool empty() const noexcept { return this->length == 0; }
    [[nodiscard]] std::size_t size() const noexcept { return this->length; }
    /// \returns the number of the next request; nothing if none waits.
    [[nodiscard]] std::optional<std::uint64_t> next() const;
    /// \returns how many grants a request is expected to wait for, its own included. It need not be
    /// in the order.
    [[nodiscard]] double expectedTurns(std::uint64_t workspace, double weight,
                                       const SlotRank &rank) const;
    /// \returns the ratio of a workspace's waits to those that the waiting requests alone let
    /// expect, at least 1: requests that arrive later overtake.
    [[nodiscard]] double stretch(std::uint64_t workspace) const;

private:
    struct Flow
    {
        std::set<SlotRank> waiting;
        /// Virtual start time of the next request.
        double startTag = 0.0;
        double weight = 1.0;
        double stretch = 1.0;
    };

    Flow &activate(std::uint64_t workspace, double weight);
    /// \returns the lowest start time of a workspace with this weight.
    [[nodiscard]] double firstTag(double weight) const noexcept;
    /// Adds a workspace to the flows with waiting requests, if it has any.
    void link(std::uint64_t workspace, const Flow &flow);
    /// Must come before any change of the start time or the waiting requests.
    void unlink(std::uint64_t workspace, const Flow &flow);
    void removePassedFlows();

    std::unordered_map<std::uint64_t, Flow> flows;
    /// Those with waiting requests: start time, number of the next request, workspace.
    std::set<std::tuple<double, std::uint64_t, std::uint64_t>> waitingFlows;
    /// Flows are looked through once per as many grants, which bounds the mean cost of a grant.
    std::size_t chargesSinceRemoval = 0;
    std::size_t length = 0;
    /// Highest virtual start time of a granted request.
    double virtualTime = 0.0;
    /// Smoothed mean of the stated weights; 0 before the first.
    double usualWeight = 0.0;
};

} // namespace plantainswitch
