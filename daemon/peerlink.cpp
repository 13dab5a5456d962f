#include "peerlink.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>

namespace plantainswitch {

namespace {

using asio::ip::udp;

constexpr std::chrono::milliseconds beatPeriod{1000};
constexpr std::chrono::milliseconds releasePeriod{50};
constexpr std::chrono::milliseconds askTimeout{60};
constexpr int askSends = 3;
/// Bytes of IP and UDP headers, counted as control traffic like the payload.
constexpr std::size_t datagramOverhead = 28;
/// Releases that fit into one datagram with room to spare.
constexpr std::size_t releasesInDatagram = 200;

udp::endpoint addressOf(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.host), endpoint.port};
}

} // namespace

SlotReply grantHere(Node &node, std::uint64_t router, const SlotAsk &ask)
{
    const auto view = node.catalogue.view();
    const auto service =
        view ? view->services.find(ask.shard.service) : decltype(view->services.end()){};
    if (!view || service == view->services.end()) {
        return {ask.askId, SlotVerdict::Empty, 0};
    }
    BoundSettings bound;
    bound.capacity = service->second.engineCapacity;
    const TimePoint now = node.clock.now();
    const std::vector<UpstreamId> ready =
        readyOf(node.upstreams, ask.shard, service->second.shards, now);
    return node.keeper.grant(router, ask, ready, bound, now);
}

PeerLink::PeerLink(asio::io_context &context, Node &node)
    : node(node)
    , strand(asio::make_strand(context))
    , socket(strand)
    , beatTimer(strand)
    , releaseTimer(strand)
{}

void PeerLink::start()
{
    const udp::endpoint local = addressOf(this->node.settings.peerDatagrams);
    this->socket.open(local.protocol());
    this->socket.bind(local);
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->receive();
        self->scheduleBeat();
        self->scheduleReleases();
    });
}

void PeerLink::addSeed(const Endpoint &datagrams)
{
    asio::post(this->strand,
               [self = this->shared_from_this(), datagrams] { self->seeds.insert(datagrams); });
}

void PeerLink::beat()
{
    asio::post(this->strand, [self = this->shared_from_this()] { self->beatHere(); });
}

void PeerLink::beatHere()
{
    const Heartbeat own = this->node.heartbeat();
    std::set<Endpoint> targets = this->seeds;
    for (const Heartbeat &member : this->node.members.all()) {
        targets.insert(member.datagrams);
    }
    targets.erase(own.datagrams);
    for (const Endpoint &target : targets) {
        this->send(addressOf(target), own);
    }
}

void PeerLink::scheduleBeat()
{
    this->node.members.hear(this->node.heartbeat(), this->node.clock.now());
    for (const std::string &id : this->node.members.expire(this->node.clock.now())) {
        logEvent(Event::MemberGone, {{"member", id}});
    }
    this->beatHere();
    this->beatTimer.expires_after(beatPeriod);
    this->beatTimer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->scheduleBeat();
        }
    });
}

void PeerLink::scheduleReleases()
{
    this->flushReleases();
    this->releaseTimer.expires_after(releasePeriod);
    this->releaseTimer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->scheduleReleases();
        }
    });
}

void PeerLink::flushReleases()
{
    decltype(this->releases) batch;
    batch.swap(this->releases);
    for (const auto &[target, ids] : batch) {
        for (std::size_t first = 0; first < ids.size(); first += releasesInDatagram) {
            const std::size_t last = std::min(ids.size(), first + releasesInDatagram);
            SlotRelease release;
            release.shard = target.second;
            release.askIds.assign(ids.begin() + static_cast<std::ptrdiff_t>(first),
                                  ids.begin() + static_cast<std::ptrdiff_t>(last));
            this->send(addressOf(target.first), release);
        }
    }
}

void PeerLink::receive()
{
    this->socket.async_receive_from(
        asio::buffer(this->buffer), this->sender,
        [self = this->shared_from_this()](const asio::error_code &error, std::size_t size) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                self->node.metrics.count(Counter::ControlBytesReceived, size + datagramOverhead);
                const auto message = decode({self->buffer.data(), size});
                if (message) {
                    self->handle(*message, self->sender);
                } else {
                    logEvent(Event::DatagramInvalid,
                             {{"from", self->sender.address().to_string()}});
                }
            }
            self->receive();
        });
}

void PeerLink::handle(const PeerMessage &message, const udp::endpoint &from)
{
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message.body)) {
        this->hear(*heartbeat);
    } else if (const auto *ask = std::get_if<SlotAsk>(&message.body)) {
        this->send(from, grantHere(this->node, message.sender, *ask));
    } else if (const auto *reply = std::get_if<SlotReply>(&message.body)) {
        this->finishAsk(reply->askId, *reply);
    } else if (const auto *release = std::get_if<SlotRelease>(&message.body)) {
        this->node.keeper.release(message.sender, *release);
    }
}

void PeerLink::hear(const Heartbeat &heartbeat)
{
    const auto known = this->node.members.find(heartbeat.id);
    if (known && known->incarnation < heartbeat.incarnation) {
        this->node.keeper.releaseRouter(identityOf(known->id, known->incarnation));
    }
    if (this->node.members.hear(heartbeat, this->node.clock.now())) {
        logEvent(Event::MemberJoined, {{"member", heartbeat.id}, {"place", heartbeat.place}});
    }
}

void PeerLink::send(const udp::endpoint &to, const PeerBody &body)
{
    this->sendBytes(to, encode({this->node.identity, body}));
}

void PeerLink::sendBytes(const udp::endpoint &to, std::string bytes)
{
    this->node.metrics.count(Counter::ControlBytesSent, bytes.size() + datagramOverhead);
    auto kept = std::make_shared<std::string>(std::move(bytes));
    this->socket.async_send_to(asio::buffer(*kept), to,
                               [kept](const asio::error_code &, std::size_t) {});
}

void PeerLink::ask(const Heartbeat &keeper, SlotAsk ask, ReplyHandler done)
{
    asio::post(this->strand, [self = this->shared_from_this(), to = addressOf(keeper.datagrams),
                              ask = std::move(ask), done = std::move(done)]() mutable {
        PendingAsk entry;
        entry.keeper = to;
        entry.datagram = encode({self->node.identity, ask});
        entry.done = std::move(done);
        entry.timer = std::make_unique<asio::steady_timer>(self->strand);
        self->pending.emplace(ask.askId, std::move(entry));
        self->sendAsk(ask.askId);
    });
}

void PeerLink::sendAsk(std::uint32_t askId)
{
    const auto found = this->pending.find(askId);
    if (found == this->pending.end()) {
        return;
    }
    PendingAsk &entry = found->second;
    if (++entry.sends > askSends) {
        this->node.metrics.count(Counter::SlotAskTimeouts);
        this->finishAsk(askId, std::nullopt);
        return;
    }
    this->sendBytes(entry.keeper, entry.datagram);
    entry.timer->expires_after(askTimeout);
    entry.timer->async_wait(
        [self = this->shared_from_this(), askId](const asio::error_code &error) {
            if (!error) {
                self->sendAsk(askId);
            }
        });
}

void PeerLink::finishAsk(std::uint32_t askId, std::optional<SlotReply> reply)
{
    const auto found = this->pending.find(askId);
    if (found == this->pending.end()) {
        return;
    }
    const PendingAsk entry = std::move(found->second);
    this->pending.erase(found);
    entry.done(reply);
}

void PeerLink::release(const Heartbeat &keeper, ShardId shard, std::uint32_t askId)
{
    asio::post(this->strand,
               [self = this->shared_from_this(), to = keeper.datagrams, shard, askId] {
                   self->releases[{to, shard}].push_back(askId);
               });
}

} // namespace plantainswitch
