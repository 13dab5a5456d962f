#include "sync.h"

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds watchWait{10'000};
constexpr std::chrono::milliseconds retryDelay{500};
constexpr std::chrono::milliseconds vmPeriod{1000};
constexpr std::chrono::milliseconds pullPeriod{500};
constexpr const char *watchedKinds = "dataclass,workspace,service";

std::optional<Entry> entryOf(const net::PlatformObject &object)
{
    const auto kind = entryKindOf(object.kind);
    if (!kind) {
        return std::nullopt;
    }
    Entry entry{{*kind, object.name}, object.version, std::nullopt};
    if (object.body.is_null()) {
        return entry;
    }
    std::vector<Fault> faults;
    entry.body = parseEntry(*kind, object.body, faults);
    if (!entry.body) {
        logEvent(
            Event::EntryInvalid,
            {{"kind", object.kind}, {"entry", object.name}, {"fault", toText(faults.front())}});
        return std::nullopt;
    }
    return entry;
}

} // namespace

Sync::Sync(asio::io_context &context, Node &node, net::HttpClient &http,
           std::shared_ptr<Beats> beats, PeerCalls &calls)
    : node(node)
    , platform(http, node.settings.platformUrl)
    , beats(std::move(beats))
    , calls(calls)
    , strand(asio::make_strand(context))
    , watchTimer(strand)
    , vmTimer(strand)
    , pullTimer(strand)
{}

void Sync::start()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->watchCatalogue();
        self->pollVms();
        self->pullFromPeers();
    });
}

void Sync::after(asio::steady_timer &timer, std::chrono::milliseconds delay, void (Sync::*next)())
{
    timer.expires_after(delay);
    timer.async_wait([self = this->shared_from_this(), next](const asio::error_code &error) {
        if (!error) {
            ((*self).*next)();
        }
    });
}

void Sync::watchCatalogue()
{
    this->node.metrics.count(Counter::PlatformCalls);
    const auto wait = this->storeVersion == 0 ? std::chrono::milliseconds{0} : watchWait;
    this->platform.changes(
        watchedKinds, this->storeVersion, wait,
        [self = this->shared_from_this()](std::optional<net::PlatformChanges> changes) {
            asio::post(self->strand, [self, changes = std::move(changes)] {
                if (changes) {
                    self->takeChanges(*changes);
                    self->watchCatalogue();
                    return;
                }
                if (!self->platformLost) {
                    self->platformLost = true;
                    logEvent(Event::PlatformUnreachable, {});
                }
                self->after(self->watchTimer, retryDelay, &Sync::watchCatalogue);
            });
        });
}

void Sync::takeChanges(const net::PlatformChanges &changes)
{
    if (this->platformLost) {
        this->platformLost = false;
        logEvent(Event::PlatformBack, {});
    }
    std::vector<Entry> entries;
    for (const net::PlatformObject &object : changes.objects) {
        if (auto entry = entryOf(object)) {
            entries.push_back(std::move(*entry));
        }
    }
    const std::size_t taken = this->node.catalogue.merge(entries);
    this->node.catalogue.confirm(this->node.clock.now());
    this->storeVersion = std::max(this->storeVersion, changes.version);
    if (taken > 0) {
        logEvent(Event::CatalogueTaken, {{"from", "platform"},
                                         {"entries", std::to_string(taken)},
                                         {"version", std::to_string(changes.version)}});
    }
}

void Sync::pollVms()
{
    this->node.metrics.count(Counter::PlatformCalls);
    this->platform.vms([self = this->shared_from_this()](std::optional<std::vector<Vm>> vms) {
        asio::post(self->strand, [self, vms = std::move(vms)] {
            if (vms) {
                self->takeVms(*vms);
            }
            self->after(self->vmTimer, vmPeriod, &Sync::pollVms);
        });
    });
}

void Sync::takeVms(const std::vector<Vm> &vms)
{
    this->node.upstreams.replace(vms);
    for (const Vm &vm : vms) {
        if (vm.role == VmRole::Router) {
            this->beats->addSeed(vm.endpoint);
        }
    }
}

void Sync::pullFromPeers()
{
    const Heartbeat own = this->node.heartbeat();
    const Heartbeat *newest = nullptr;
    const std::vector<Heartbeat> members = this->node.members.all();
    for (const Heartbeat &member : members) {
        if (member.catalogueVersion > own.catalogueVersion
            && (newest == nullptr || member.catalogueVersion > newest->catalogueVersion)) {
            newest = &member;
        }
    }
    if (newest == nullptr) {
        this->after(this->pullTimer, pullPeriod, &Sync::pullFromPeers);
        return;
    }
    this->calls.pull(*newest, own.catalogueVersion,
                     [self = this->shared_from_this(),
                      peer = newest->id](std::optional<std::vector<Entry>> entries) {
                         asio::post(self->strand, [self, peer, entries = std::move(entries)] {
                             const std::size_t taken =
                                 entries ? self->node.catalogue.merge(*entries) : 0;
                             if (taken > 0) {
                                 logEvent(Event::CatalogueTaken,
                                          {{"from", peer}, {"entries", std::to_string(taken)}});
                             }
                             self->after(self->pullTimer, pullPeriod, &Sync::pullFromPeers);
                         });
                     });
}

} // namespace plantainswitch
