#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "plantainswitch/base/hash.h"

#include "brittleoptions.h"
#include "simulation.h"

namespace plantainswitch {

/// A request of a caller at a router.
struct BrittleAttempt
{
    std::uint64_t id = 0;
    std::size_t router = 0;
    /// Start of the router's process that received it.
    std::uint64_t process = 0;
    std::vector<std::size_t> tried;
    std::uint32_t rejections = 0;
    /// The coordinator that granted the request; the number of routers if none did.
    std::size_t grantor = 0;
};

/// A request at an upstream.
struct BrittleRun
{
    std::shared_ptr<BrittleAttempt> attempt;
    std::size_t upstream = 0;
    /// The upstream's incarnation when the request was sent, and the one that the router knew.
    std::uint64_t incarnation = 0;
    std::uint64_t knownIncarnation = 0;
    TimePoint sentAt;
    /// The router has closed the connection.
    bool isAbandoned = false;
    bool isExecuting = false;
    bool isOver = false;
};

/// The upstreams of one service that become brittle: what they run, let wait and reject, and when
/// they crash on it.
class BrittleUpstreams : protected Simulation
{
public:
    /// Crashes of upstreams that had rejected too many requests within a second, most of them from
    /// routers that had run without a disturbance for noticeTime.
    [[nodiscard]] std::size_t falls() const { return this->fallCount; }

protected:
    using RunPointer = std::shared_ptr<BrittleRun>;

    enum class Outcome : std::uint8_t { Served, Rejected, ConnectionLost };

    struct Response
    {
        Outcome outcome = Outcome::Served;
        /// Requests that the upstream holds, if it states them.
        std::optional<std::uint32_t> load;
    };

    struct ModelUpstream
    {
        std::uint64_t incarnation = 0;
        bool isUp = true;
        TimePoint silentUntil;
        double slowness = 1.0;
        std::uint32_t running = 0;
        std::deque<RunPointer> waiting;
        /// Time of each rejection within a second, and whether the router was in contact.
        std::deque<std::pair<TimePoint, bool>> rejections;
    };

    BrittleUpstreams(std::uint64_t seed, const BrittleOptions &options)
        : Simulation(seed)
        , options(options)
        , upstreams(options.upstreams)
    {
        for (ModelUpstream &upstream : this->upstreams) {
            upstream.incarnation = this->nextIncarnation++;
            if (options.speedSpread > 0.0) {
                upstream.slowness = std::exp(this->normal() * options.speedSpread);
            }
        }
    }
    ~BrittleUpstreams() = default;

    /// A response, or the end of its connection, arrives at the router of \a run.
    virtual void onResponse(const RunPointer &run, const Response &response) = 0;
    [[nodiscard]] virtual bool isInContact(std::size_t router) const = 0;
    virtual void onReturn(std::size_t upstream) = 0;

    [[nodiscard]] bool announces() const
    {
        const Duration since = this->elapsed();
        return since >= announceAt && since < brittleUntil;
    }

    void arrive(const RunPointer &run)
    {
        ModelUpstream &upstream = this->upstreams[run->upstream];
        if (!upstream.isUp || upstream.incarnation != run->incarnation) {
            this->respond(run, Outcome::ConnectionLost);
        } else if (this->now < upstream.silentUntil) {
            this->at(upstream.silentUntil - this->now, [this, run] { this->arrive(run); });
        } else if (upstream.running < this->options.slots) {
            this->execute(run);
        } else if (upstream.waiting.size() < this->waitingLimit()) {
            upstream.waiting.push_back(run);
        } else {
            this->reject(run);
        }
    }

    /// The upstream notices that the connection was closed.
    void drop(const RunPointer &run)
    {
        ModelUpstream &upstream = this->upstreams[run->upstream];
        if (this->isPersistent(run->upstream) || upstream.incarnation != run->incarnation) {
            return;
        }
        if (this->now < upstream.silentUntil) {
            this->at(upstream.silentUntil - this->now, [this, run] { this->drop(run); });
            return;
        }
        const auto waiting = std::find(upstream.waiting.begin(), upstream.waiting.end(), run);
        if (waiting != upstream.waiting.end()) {
            upstream.waiting.erase(waiting);
            run->isOver = true;
        } else if (run->isExecuting && !run->isOver) {
            this->endRun(run);
        }
    }

    /// A new connection holds a slot for a moment, also beyond those that there are.
    void openConnection(std::size_t index)
    {
        ModelUpstream &upstream = this->upstreams[index];
        upstream.running += 1;
        this->at(this->options.connectionHold, [this, index, incarnation = upstream.incarnation] {
            if (this->upstreams[index].incarnation == incarnation) {
                this->freeSlot(index);
            }
        });
    }

    void crash(std::size_t index)
    {
        ModelUpstream &upstream = this->upstreams[index];
        upstream.isUp = false;
        upstream.running = 0;
        upstream.waiting.clear();
        upstream.rejections.clear();
        upstream.incarnation = this->nextIncarnation++;
        this->at(upstreamRestart, [this, index, incarnation = upstream.incarnation] {
            if (this->upstreams[index].incarnation == incarnation) {
                this->upstreams[index].isUp = true;
                this->onReturn(index);
            }
        });
    }

    BrittleOptions options;
    std::vector<ModelUpstream> upstreams;

private:
    /// Upstreams let fewer requests wait, and crash on too many rejections.
    [[nodiscard]] bool isFragile() const
    {
        const Duration since = this->elapsed();
        return since >= announceAt + noticeTime && since < brittleUntil;
    }

    [[nodiscard]] std::uint32_t waitingLimit() const
    {
        return this->isFragile() ? this->options.waitingAfter : this->options.waitingBefore;
    }

    [[nodiscard]] bool isPersistent(std::size_t upstream) const
    {
        constexpr std::uint64_t steps = 100;
        return static_cast<double>(mixHash(upstream + 1, steps) % steps)
               < this->options.persistentShare * static_cast<double>(steps);
    }

    double normal() { return std::normal_distribution<double>()(this->random); }

    Duration runTime(const ModelUpstream &upstream)
    {
        using FloatMilliseconds = std::chrono::duration<double, std::milli>;
        const double scale = FloatMilliseconds(this->options.meanRun) / evenRun * upstream.slowness;
        if (this->options.runSpread <= 0.0) {
            const FloatMilliseconds even = this->between(static_cast<int>(leastEvenRun.count()),
                                                         static_cast<int>(mostEvenRun.count()));
            return std::chrono::duration_cast<Duration>(scale * even);
        }
        constexpr double longest = 4.0;
        const double spread = this->options.runSpread;
        const FloatMilliseconds drawn =
            std::exp(spread * this->normal() - spread * spread / 2.0) * evenRun;
        const FloatMilliseconds most = longest * mostEvenRun;
        return std::chrono::duration_cast<Duration>(scale * std::min(drawn, most));
    }

    void execute(const RunPointer &run)
    {
        ModelUpstream &upstream = this->upstreams[run->upstream];
        upstream.running += 1;
        run->isExecuting = true;
        const Duration left = run->sentAt + callerDeadline - this->now;
        this->at(std::min(this->runTime(upstream), std::max(left, Duration{0})),
                 [this, run] { this->finish(run); });
    }

    void finish(const RunPointer &run)
    {
        const ModelUpstream &upstream = this->upstreams[run->upstream];
        if (run->isOver) {
            return;
        }
        if (!upstream.isUp || upstream.incarnation != run->incarnation) {
            this->respond(run, Outcome::ConnectionLost);
            return;
        }
        if (this->now < upstream.silentUntil) {
            this->at(upstream.silentUntil - this->now, [this, run] { this->finish(run); });
            return;
        }
        this->respond(run, Outcome::Served);
        this->endRun(run);
    }

    /// Frees the slot of a run.
    void endRun(const RunPointer &run)
    {
        run->isOver = true;
        this->freeSlot(run->upstream);
    }

    void freeSlot(std::size_t index)
    {
        ModelUpstream &upstream = this->upstreams[index];
        upstream.running -= 1;
        if (!upstream.waiting.empty() && upstream.running < this->options.slots) {
            const RunPointer next = upstream.waiting.front();
            upstream.waiting.pop_front();
            this->execute(next);
        }
    }

    void reject(const RunPointer &run)
    {
        ModelUpstream &upstream = this->upstreams[run->upstream];
        run->isOver = true;
        upstream.rejections.emplace_back(this->now, this->isInContact(run->attempt->router));
        while (this->now - upstream.rejections.front().first > Seconds{1}) {
            upstream.rejections.pop_front();
        }
        const bool falls =
            this->isFragile() && upstream.rejections.size() > this->options.maxRejections;
        this->respond(run, Outcome::Rejected);
        if (falls) {
            const auto counted =
                std::count_if(upstream.rejections.begin(), upstream.rejections.end(),
                              [](const auto &entry) { return entry.second; });
            const bool mostCount =
                2 * static_cast<std::size_t>(counted) > upstream.rejections.size();
            this->fallCount += mostCount ? 1 : 0;
            this->crash(run->upstream);
        }
    }

    /// Sends the response of a run, or the end of its connection.
    void respond(const RunPointer &run, Outcome outcome)
    {
        const ModelUpstream &upstream = this->upstreams[run->upstream];
        Response response{outcome, std::nullopt};
        if (outcome != Outcome::ConnectionLost) {
            response.load = upstream.running + static_cast<std::uint32_t>(upstream.waiting.size());
        }
        this->at(this->between(1, 4), [this, run, response] { this->onResponse(run, response); });
    }

    std::uint64_t nextIncarnation = 1;
    std::size_t fallCount = 0;
};

} // namespace plantainswitch
