#include "plantainswitch/routing/originconfirmation.h"

#include <algorithm>

namespace plantainswitch {

std::uint64_t OriginConfirmations::add(const StreamOrigin &origin, TimePoint now)
{
    this->pending.emplace(++this->lastNumber, Pending{origin, now, now, 0});
    return this->lastNumber;
}

bool OriginConfirmations::confirm(std::uint64_t number, TimePoint now)
{
    this->lastConfirmed = now;
    return this->pending.erase(number) > 0;
}

void OriginConfirmations::settle(std::uint64_t number, TimePoint now)
{
    if (this->pending.erase(number) > 0) {
        this->lastUnanswered = now;
    }
}

std::vector<ConfirmationRequest> OriginConfirmations::takeDue(TimePoint now)
{
    std::vector<ConfirmationRequest> due;
    for (auto &[number, request] : this->pending) {
        if (request.dueAt <= now) {
            due.push_back({number, request.origin, request.round});
            request.round += 1;
            request.dueAt = now + originConfirmationInterval;
        }
    }
    return due;
}

std::vector<std::uint64_t> OriginConfirmations::takeExpired(TimePoint now)
{
    std::vector<std::uint64_t> expired;
    while (!this->pending.empty()
           && this->pending.begin()->second.addedAt + originConfirmationDeadline <= now) {
        expired.push_back(this->pending.begin()->first);
        this->pending.erase(this->pending.begin());
        this->lastUnanswered = now;
    }
    return expired;
}

bool OriginConfirmations::areConfirmed(TimePoint now) const
{
    if (this->pending.empty()) {
        return this->lastUnanswered <= this->lastConfirmed;
    }
    const TimePoint since = std::max(this->pending.begin()->second.addedAt, this->lastConfirmed);
    return now - since < originConfirmationTimeout && this->lastUnanswered <= this->lastConfirmed;
}

std::optional<TimePoint> OriginConfirmations::nextDue() const
{
    std::optional<TimePoint> next;
    for (const auto &[number, request] : this->pending) {
        const TimePoint due = std::min(request.dueAt, request.addedAt + originConfirmationDeadline);
        next = std::min(next.value_or(due), due);
    }
    return next;
}

std::vector<Endpoint> witnessesOfRound(const OriginWitnesses &witnesses, std::size_t round)
{
    std::vector<Endpoint> asked;
    const std::size_t count = witnesses.alive.size();
    for (std::size_t i = 0; i < std::min(witnessesAtOnce, count); ++i) {
        asked.push_back(witnesses.alive[(round * witnessesAtOnce + i) % count]);
    }
    return asked;
}

} // namespace plantainswitch
