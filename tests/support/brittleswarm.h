#pragma once

#include <random>

#include "brittleoptions.h"

namespace plantainswitch {

/// Draws which disturbances occur in a run, and how strong they are: each is left out in some runs,
/// so that any may meet any other.
class BrittleSwarm
{
public:
    explicit BrittleSwarm(std::uint64_t seed)
        : random(seed)
    {}

    void apply(BrittleOptions &options)
    {
        this->drawRuns(options);
        this->drawFleet(options);
        this->drawUpstreams(options);
        this->drawCallers(options);
    }

private:
    bool occurs(double probability) { return this->between(0.0, 1.0) < probability; }

    double between(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(this->random);
    }

    Milliseconds between(int low, int high)
    {
        return Milliseconds{std::uniform_int_distribution<int>(low, high)(this->random)};
    }

    void draw(double probability, Milliseconds &interval, int low, int high)
    {
        if (this->occurs(probability)) {
            interval = this->between(low, high);
        }
    }

    void draw(double probability, double &value, double low, double high)
    {
        if (this->occurs(probability)) {
            value = this->between(low, high);
        }
    }

    void drawRuns(BrittleOptions &options)
    {
        this->draw(0.7, options.runSpread, 0.5, 1.4);
        this->draw(0.4, options.meanRun, 100, 800);
        this->draw(0.3, options.speedSpread, 0.3, 0.7);
    }

    void drawFleet(BrittleOptions &options)
    {
        if (this->occurs(0.3)) {
            options.routers = 60;
            options.dataCentres = 4;
        }
        this->draw(0.3, options.datagramLoss, 0.01, 0.05);
        this->draw(0.3, options.restartInterval, 500, 3000);
        this->draw(0.15, options.killAllAt, 8000, 18'000);
        this->draw(0.25, options.cutAt, 8000, 18'000);
        this->draw(0.25, options.freezeInterval, 1000, 5000);
        this->draw(0.3, options.slownessInterval, 500, 3000);
        options.slowShare = this->between(0.0, 1.0);
        this->draw(0.35, options.resetInterval, 1500, 6000);
    }

    void drawUpstreams(BrittleOptions &options)
    {
        this->draw(0.3, options.crashInterval, 2000, 6000);
        this->draw(0.6, options.entryLag, 500, 3000);
        this->draw(0.8, options.persistentShare, 0.0, 1.0);
        this->draw(0.35, options.silenceInterval, 1000, 4000);
        this->draw(0.5, options.connectionHold, 1, 5);
        options.statesLoad = this->occurs(0.5);
    }

    void drawCallers(BrittleOptions &options)
    {
        this->draw(0.35, options.abandonedShare, 0.0, 0.7);
        this->draw(0.25, options.leaveInterval, 500, 4000);
        this->draw(0.25, options.shortenedTimeout, 60, 300);
    }

    std::mt19937_64 random;
};

} // namespace plantainswitch
