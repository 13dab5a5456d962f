#include "wirecodec.h"

namespace plantainswitch::codec {

namespace {

constexpr double rateUnitsPerRequest = 256.0;

/// Rounds down, so that a router never holds more than its owner has counted.
std::uint32_t rateToWire(double rate)
{
    return static_cast<std::uint32_t>(rate * rateUnitsPerRequest);
}

double rateFromWire(std::uint32_t rate)
{
    return rate / rateUnitsPerRequest;
}

} // namespace

void fill(wire::Datagram &datagram, const LimitReport &from)
{
    wire::LimitReport &to = *datagram.mutable_limit_report();
    to.set_sequence(from.sequence);
    for (const LimitUse &use : from.uses) {
        wire::LimitUse &each = *to.add_uses();
        each.set_workspace(use.workspace);
        each.set_rate_wanted(rateToWire(use.rateWanted));
        each.set_in_flight_wanted(use.inFlightWanted);
        each.set_rate_held(rateToWire(use.rateHeld));
        each.set_in_flight_held(use.inFlightHeld);
    }
}

void fill(wire::Datagram &datagram, const LimitShares &from)
{
    wire::LimitShares &to = *datagram.mutable_limit_shares();
    to.set_sequence(from.sequence);
    for (const LimitShare &share : from.shares) {
        wire::LimitShare &each = *to.add_shares();
        each.set_workspace(share.workspace);
        each.set_rate(rateToWire(share.rate));
        each.set_in_flight(share.inFlight);
    }
}

LimitReport read(const wire::LimitReport &from)
{
    LimitReport to;
    to.sequence = from.sequence();
    for (const wire::LimitUse &use : from.uses()) {
        to.uses.push_back({use.workspace(), rateFromWire(use.rate_wanted()), use.in_flight_wanted(),
                           rateFromWire(use.rate_held()), use.in_flight_held()});
    }
    return to;
}

LimitShares read(const wire::LimitShares &from)
{
    LimitShares to;
    to.sequence = from.sequence();
    for (const wire::LimitShare &share : from.shares()) {
        to.shares.push_back({share.workspace(), rateFromWire(share.rate()), share.in_flight()});
    }
    return to;
}

} // namespace plantainswitch::codec
