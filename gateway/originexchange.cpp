#include "originexchange.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "plantainswitch/observe/event.h"

namespace plantainswitch::gateway {

namespace {

/// Searches that run at once; further ones end without a result.
constexpr std::size_t maxSearches = 512;

std::uint32_t millisecondsLeft(const StreamOrigin &origin, TimePoint now)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(origin.expiresAt - now);
    return static_cast<std::uint32_t>(std::max<Milliseconds::rep>(left.count(), 0));
}

/// Number of a report that asks whether its receiver responds; higher than any of an origin.
constexpr std::uint64_t probeNumber = std::numeric_limits<std::uint64_t>::max();

/// Requests to witnesses for one confirmation before the store is asked as well.
constexpr std::size_t roundsBeforeStore = 4;

/// Origins in one datagram, about one Ethernet frame.
constexpr std::size_t maxReportedAtOnce = 100;

/// Adds \a origins to \a groups, one group for each version and owner.
void appendOrigins(google::protobuf::RepeatedPtrField<wire::StreamOrigins> &groups,
                   const std::vector<StreamOrigin> &origins, TimePoint now)
{
    std::map<std::pair<VersionKey, RouterProcess>, wire::StreamOrigins *> byVersion;
    for (const StreamOrigin &origin : origins) {
        wire::StreamOrigins *&group = byVersion[{origin.version, origin.owner}];
        if (group == nullptr) {
            group = groups.Add();
            group->set_version(origin.version);
            group->set_owner(origin.owner);
        }
        group->add_streams(origin.stream);
        group->add_left_ms(millisecondsLeft(origin, now));
    }
}

} // namespace

OriginExchange::OriginExchange(GatewayState &gateway, const RouterContacts &contacts,
                               RouterProcess own, Sender send)
    : gateway(gateway)
    , contacts(contacts)
    , own(own)
    , send(std::move(send))
    , store(gateway, own)
    , confirmationTimer(gateway.context)
{}

void OriginExchange::announce(StreamOrigin origin)
{
    const TimePoint now = this->gateway.clock.now();
    origin.owner = this->own;
    this->gateway.streamOrigins.record(origin, now);
    this->gateway.updateLog.recordOrigin(origin, now);
    for (const Endpoint &holder : this->contacts.originHolders(origin.stream, now)) {
        this->unsent[holder].push_back(origin);
    }
}

void OriginExchange::announceConfirmed(const StreamOrigin &origin, std::function<void(bool)> done)
{
    this->announce(origin);
    const TimePoint now = this->gateway.clock.now();
    if (!this->contacts.originWitnesses(origin.stream, now).exist) {
        done(true);
        return;
    }
    StreamOrigin own = origin;
    own.owner = this->own;
    this->unconfirmed.emplace(this->confirmations.add(own, now), Unconfirmed{std::move(done)});
    this->confirmDue();
}

bool OriginExchange::areWitnessesResponding() const
{
    const TimePoint now = this->gateway.clock.now();
    const OriginWitnesses witnesses = this->contacts.originWitnesses({}, now);
    return !witnesses.exist || (!witnesses.alive.empty() && this->confirmations.areConfirmed(now));
}

bool OriginExchange::areOriginsConfirmed() const
{
    return this->areWitnessesResponding() || this->store.isResponding();
}

void OriginExchange::confirmDue()
{
    const TimePoint now = this->gateway.clock.now();
    const bool areResponding = this->areWitnessesResponding();
    for (const ConfirmationRequest &request : this->confirmations.takeDue(now)) {
        const OriginWitnesses witnesses =
            this->contacts.originWitnesses(request.origin.stream, now);
        wire::GatewayDatagram datagram;
        wire::OriginReport &report = *datagram.mutable_origin_report();
        report.set_number(request.number);
        appendOrigins(*report.mutable_origins(), {request.origin}, now);
        for (const Endpoint &witness : witnessesOfRound(witnesses, request.round)) {
            this->send(witness, datagram);
        }
        if (!areResponding || request.round >= roundsBeforeStore) {
            this->confirmAtStore(request);
        }
    }
    for (const std::uint64_t number : this->confirmations.takeExpired(now)) {
        this->finishConfirmation(number, false);
    }
    if (const auto due = this->confirmations.nextDue()) {
        this->confirmationTimer.expires_at(*due);
        this->confirmationTimer.async_wait([this](const asio::error_code &error) {
            if (!error) {
                this->confirmDue();
            }
        });
    }
}

void OriginExchange::confirmAtStore(const ConfirmationRequest &request)
{
    const auto found = this->unconfirmed.find(request.number);
    if (found == this->unconfirmed.end() || found->second.isAtStore) {
        return;
    }
    found->second.isAtStore = true;
    this->store.write(request.origin, [this, number = request.number](bool isWritten) {
        if (isWritten) {
            this->confirmations.settle(number, this->gateway.clock.now());
            this->finishConfirmation(number, true);
            return;
        }
        const auto failed = this->unconfirmed.find(number);
        if (failed != this->unconfirmed.end()) {
            failed->second.isAtStore = false;
        }
    });
}

void OriginExchange::finishConfirmation(std::uint64_t number, bool isConfirmed)
{
    auto finished = this->unconfirmed.extract(number);
    if (!finished.empty()) {
        finished.mapped().done(isConfirmed);
    }
}

void OriginExchange::probeWitnesses()
{
    const bool areMixed = this->gateway.areAnyVersionsMixed();
    const bool areResponding = !areMixed || this->areWitnessesResponding();
    if (areResponding != std::exchange(this->wereResponding, areResponding)) {
        logEvent(Event::WitnessesResponding, {{"responding", areResponding ? "yes" : "no"}});
    }
    if (areResponding) {
        return;
    }
    this->store.probe();
    wire::GatewayDatagram datagram;
    datagram.mutable_origin_report()->set_number(probeNumber);
    const OriginWitnesses witnesses = this->contacts.originWitnesses({}, this->gateway.clock.now());
    for (const Endpoint &witness : witnessesOfRound(witnesses, ++this->probes)) {
        this->send(witness, datagram);
    }
}

void OriginExchange::findInStore(StreamKey stream, std::function<void(const OriginResult &)> done)
{
    this->store.find(stream, [done = std::move(done)](std::optional<VersionKey> version) {
        done({version, 0});
    });
}

void OriginExchange::stop()
{
    this->confirmationTimer.cancel();
    this->store.stop();
}

void OriginExchange::onReport(const wire::OriginReport &message, const Endpoint &from)
{
    this->onOrigins(message.origins());
    if (message.number() == 0 || this->gateway.stopping) {
        return;
    }
    wire::GatewayDatagram datagram;
    datagram.mutable_origin_confirmation()->set_number(message.number());
    this->send(from, datagram);
}

void OriginExchange::onConfirmation(const wire::OriginConfirmation &message)
{
    this->confirmations.confirm(message.number(), this->gateway.clock.now());
    this->finishConfirmation(message.number(), true);
}

void OriginExchange::tick()
{
    const TimePoint now = this->gateway.clock.now();
    this->gateway.streamOrigins.removeExpired(now);
    this->probeWitnesses();
    for (const auto &[holder, origins] : std::exchange(this->unsent, {})) {
        this->report(holder, origins);
    }
}

void OriginExchange::passOnTo(const Endpoint &joining)
{
    this->report(joining, originsForJoining(this->gateway.streamOrigins, this->contacts, joining,
                                            this->own, this->gateway.clock.now()));
}

void OriginExchange::passOnAll()
{
    for (const auto &[receiver, origins] : originsAtStop(
             this->gateway.streamOrigins, this->contacts, this->own, this->gateway.clock.now())) {
        this->report(receiver, origins);
    }
}

void OriginExchange::report(const Endpoint &receiver, const std::vector<StreamOrigin> &origins)
{
    const TimePoint now = this->gateway.clock.now();
    for (std::size_t first = 0; first < origins.size(); first += maxReportedAtOnce) {
        const std::size_t last = std::min(first + maxReportedAtOnce, origins.size());
        wire::GatewayDatagram datagram;
        appendOrigins(*datagram.mutable_origin_report()->mutable_origins(),
                      {origins.begin() + static_cast<std::ptrdiff_t>(first),
                       origins.begin() + static_cast<std::ptrdiff_t>(last)},
                      now);
        this->send(receiver, datagram);
    }
}

void OriginExchange::append(wire::RouterNews &message,
                            const std::vector<StreamOrigin> &origins) const
{
    appendOrigins(*message.mutable_origins(), origins, this->gateway.clock.now());
}

void OriginExchange::find(StreamKey stream, std::function<void(const OriginResult &)> done)
{
    const auto known = this->gateway.streamOrigins.find(stream, this->gateway.clock.now());
    if (known || this->searches.size() >= maxSearches) {
        done({known ? std::optional(known->version) : std::nullopt, 0});
        return;
    }
    const std::uint64_t number = ++this->lastNumber;
    PendingSearch pending;
    pending.search.stream = stream;
    pending.done = std::move(done);
    pending.timer = std::make_unique<asio::steady_timer>(this->gateway.context);
    this->searches.emplace(number, std::move(pending));
    this->ask(number);
}

void OriginExchange::ask(std::uint64_t number)
{
    PendingSearch &pending = this->searches.at(number);
    const auto sources =
        this->contacts.originSources(pending.search.stream, this->gateway.clock.now());
    const auto asked = nextRound(pending.search, sources);
    if (!asked) {
        this->finish(number, std::nullopt);
        return;
    }
    wire::GatewayDatagram datagram;
    datagram.mutable_origin_ask()->set_number(number);
    datagram.mutable_origin_ask()->set_stream(pending.search.stream);
    for (const Endpoint &router : *asked) {
        this->send(router, datagram);
    }
    pending.timer->expires_after(originAskInterval);
    pending.timer->async_wait([this, number](const asio::error_code &error) {
        if (!error && this->searches.contains(number)) {
            this->ask(number);
        }
    });
}

void OriginExchange::finish(std::uint64_t number, std::optional<VersionKey> version)
{
    const auto found = this->searches.find(number);
    const PendingSearch pending = std::move(found->second);
    this->searches.erase(found);
    pending.timer->cancel();
    pending.done({version, pending.search.pending.size() + pending.search.ignorant.size()});
}

void OriginExchange::onOrigins(
    const google::protobuf::RepeatedPtrField<wire::StreamOrigins> &reported)
{
    const TimePoint now = this->gateway.clock.now();
    for (const wire::StreamOrigins &group : reported) {
        const int count = std::min(group.streams_size(), group.left_ms_size());
        for (int i = 0; i < count; ++i) {
            this->gateway.streamOrigins.record({group.streams(i), group.version(),
                                                now + Milliseconds{group.left_ms(i)},
                                                group.owner()},
                                               now);
        }
    }
}

void OriginExchange::onAsk(const wire::OriginAsk &message, const Endpoint &from)
{
    const TimePoint now = this->gateway.clock.now();
    const auto known = this->gateway.streamOrigins.find(message.stream(), now);
    wire::GatewayDatagram datagram;
    wire::OriginReply &reply = *datagram.mutable_origin_reply();
    reply.set_number(message.number());
    reply.set_known(known.has_value());
    if (known) {
        reply.set_version(known->version);
        reply.set_left_ms(millisecondsLeft(*known, now));
    }
    this->send(from, datagram);
}

void OriginExchange::onReply(const wire::OriginReply &message, const Endpoint &from)
{
    const auto found = this->searches.find(message.number());
    if (found == this->searches.end()) {
        return;
    }
    const TimePoint now = this->gateway.clock.now();
    OriginSearch &search = found->second.search;
    const bool wasAsked =
        std::find(search.pending.begin(), search.pending.end(), from) != search.pending.end();
    if (!wasAsked) {
        return;
    }
    if (!message.known()) {
        if (recordIgnorance(search, from, this->contacts.aliveCount(now))) {
            this->finish(message.number(), std::nullopt);
        }
        return;
    }
    this->gateway.streamOrigins.record(
        {search.stream, message.version(), now + Milliseconds{message.left_ms()}}, now);
    // A contradiction of an origin that arrived during the search leaves the origin unknown.
    const auto known = this->gateway.streamOrigins.find(search.stream, now);
    this->finish(message.number(), known ? std::optional(known->version) : std::nullopt);
}

} // namespace plantainswitch::gateway
