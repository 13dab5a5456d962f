#include "orderservice.h"

#include <algorithm>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds roundPeriod{1000};
constexpr std::chrono::milliseconds engineTimeout{2000};
constexpr const char *leaseKind = "orderlease";
constexpr int statusOk = 200;

std::string ordersUrl(const Vm &engine)
{
    return "http://" + toText(engine.endpoint) + "/orders";
}

std::string stringField(const nlohmann::json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : "";
}

EngineStatus parseReading(const Vm &vm, const net::HttpResponse &answer)
{
    EngineStatus reading;
    reading.vm = vm;
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status != statusOk || !json.is_object()) {
        return reading;
    }
    reading.isReachable = true;
    reading.setup = {stringField(json, "model"), stringField(json, "version"),
                     stringField(json, "adapter"), stringField(json, "role")};
    const auto loading = json.find("loading");
    reading.isLoading = loading != json.end() && loading->is_boolean() && loading->get<bool>();
    const auto fencing = json.find("fencing");
    if (fencing != json.end() && fencing->is_number_unsigned()) {
        reading.fencingToken = fencing->get<std::uint64_t>();
    }
    return reading;
}

nlohmann::json orderBody(const EngineSetup &wanted, std::uint64_t fencing)
{
    return {{"model", wanted.model},
            {"version", wanted.version},
            {"adapter", wanted.adapter},
            {"role", wanted.role},
            {"fencing", fencing}};
}

std::optional<LeaseObject> parseLease(const net::PlatformResponse &answer)
{
    if (!answer.object || !answer.object->body.is_object()) {
        return std::nullopt;
    }
    return LeaseObject{stringField(answer.object->body, "holder"), answer.object->version};
}

} // namespace

OrderService::OrderService(asio::io_context &context, Node &node, net::HttpClient &http)
    : node(node)
    , http(http)
    , platform(http, node.settings.platformUrl)
    , strand(asio::make_strand(context))
    , timer(strand)
{}

void OrderService::start()
{
    asio::post(this->strand, [self = this->shared_from_this()] { self->tick(); });
}

void OrderService::tick()
{
    this->startRounds();
    this->timer.expires_after(roundPeriod);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->tick();
        }
    });
}

void OrderService::startRounds()
{
    const auto view = this->node.catalogue.view();
    if (!view || this->node.stopping) {
        return;
    }
    for (const auto &[name, service] : view->services) {
        if (service.engines.setup.empty() || !this->isPoolWatcher(name)) {
            continue;
        }
        PoolPointer &pool = this->pools[name];
        if (!pool) {
            pool = std::make_shared<Pool>();
            pool->service = name;
        }
        if (!pool->roundInProgress) {
            pool->wanted = service.engines;
            this->readEngines(pool);
        }
    }
}

bool OrderService::isPoolWatcher(const std::string &service) const
{
    const auto watcher =
        coordinatorOf({service, this->node.settings.dataCentre, 0}, *this->node.members.active());
    return watcher && watcher->id == this->node.settings.id;
}

void OrderService::readEngines(const PoolPointer &pool)
{
    const auto engines = this->node.upstreams.ready(pool->service, this->node.settings.dataCentre,
                                                    this->node.clock.now());
    pool->engines.clear();
    pool->pendingReadings = engines.size();
    pool->roundInProgress = !engines.empty();
    for (const Upstream &engine : engines) {
        EngineStatus reading;
        reading.vm = engine.vm;
        pool->engines.push_back(std::move(reading));
    }
    for (std::size_t index = 0; index < engines.size(); ++index) {
        net::HttpCall call;
        call.url = ordersUrl(engines[index].vm);
        call.totalTimeout = engineTimeout;
        this->http.fetch(std::move(call), [self = this->shared_from_this(), pool,
                                           index](const net::HttpResponse &answer) {
            asio::post(self->strand,
                       [self, pool, index, answer] { self->handleReading(pool, index, answer); });
        });
    }
}

void OrderService::handleReading(const PoolPointer &pool, std::size_t index,
                                 const net::HttpResponse &answer)
{
    pool->engines[index] = parseReading(pool->engines[index].vm, answer);
    if (--pool->pendingReadings > 0) {
        return;
    }
    const bool done = std::all_of(
        pool->engines.begin(), pool->engines.end(), [&pool](const EngineStatus &engine) {
            return engine.isReachable && matchesSetup(engine.setup, pool->wanted.setup);
        });
    if (done && !pool->converged) {
        logEvent(Event::OrdersDone, {{"service", pool->service}});
    }
    pool->converged = done;
    if (done) {
        // Without work the lease is left to expire, so that an idle fleet writes nothing.
        pool->roundInProgress = false;
        return;
    }
    this->readLease(pool, &OrderService::decideOnLease);
}

void OrderService::readLease(const PoolPointer &pool,
                             void (OrderService::*next)(const PoolPointer &))
{
    this->node.metrics.count(Counter::PlatformCalls);
    this->platform.get(
        leaseKind, this->leaseName(pool->service),
        [self = this->shared_from_this(), pool, next](const net::PlatformResponse &answer) {
            asio::post(self->strand, [self, pool, next, answer] {
                const bool known = answer.status == net::PlatformStatus::Ok
                                   || answer.status == net::PlatformStatus::NotFound;
                if (!known) {
                    pool->roundInProgress = false;
                    return;
                }
                const bool held = pool->lease.heldVersion.has_value();
                observeLease(pool->lease, parseLease(answer), self->holderId(),
                             self->node.clock.now());
                if (held && !pool->lease.heldVersion) {
                    logEvent(Event::OrderLeaseLost, {{"service", pool->service}});
                }
                ((*self).*next)(pool);
            });
        });
}

void OrderService::decideOnLease(const PoolPointer &pool)
{
    const TimePoint now = this->node.clock.now();
    if (decideLease(pool->lease, this->holderId(), this->settings, now).action
        != LeaseAction::None) {
        this->writeLease(pool);
        return;
    }
    // Read the lease again just before sending: reading the engines may have taken long.
    this->readLease(pool, &OrderService::sendOrders);
}

void OrderService::writeLease(const PoolPointer &pool)
{
    const TimePoint sentAt = this->node.clock.now();
    const LeaseDecision decision =
        decideLease(pool->lease, this->holderId(), this->settings, sentAt);
    this->node.metrics.count(Counter::PlatformCalls);
    this->platform.put(
        leaseKind, this->leaseName(pool->service), decision.ifVersion,
        {{"holder", this->holderId()}, {"place", this->node.settings.dataCentre}},
        [self = this->shared_from_this(), pool, decision,
         sentAt](const net::PlatformResponse &answer) {
            asio::post(self->strand, [self, pool, decision, sentAt, answer] {
                // If the response was lost, the next read of the lease shows whether the write took
                // effect.
                if (answer.status == net::PlatformStatus::Ok && answer.object) {
                    recordLeaseWrite(pool->lease, self->holderId(), answer.object->version,
                                     self->settings, sentAt);
                    if (decision.action == LeaseAction::Acquire) {
                        logEvent(Event::OrderLeaseTaken, {{"service", pool->service}});
                    }
                }
                pool->roundInProgress = false;
            });
        });
}

void OrderService::sendOrders(const PoolPointer &pool)
{
    pool->roundInProgress = false;
    const auto fencing = currentFencingToken(pool->lease, pool->wanted.checkFencing, this->settings,
                                             this->node.clock.now());
    if (!fencing || pool->lease.observed->version != *fencing) {
        return;
    }
    for (const std::size_t index : planOrders(pool->engines, pool->wanted)) {
        this->sendOrderTo(pool->engines[index], pool, *fencing);
    }
}

void OrderService::sendOrderTo(const EngineStatus &engine, const PoolPointer &pool,
                               std::uint64_t fencing)
{
    logEvent(Event::OrderSent, {{"engine", engine.vm.id},
                                {"service", pool->service},
                                {"fencing", std::to_string(fencing)}});
    net::HttpCall call;
    call.method = "PUT";
    call.url = ordersUrl(engine.vm);
    call.body = orderBody(pool->wanted.setup, fencing).dump();
    call.totalTimeout = engineTimeout;
    call.freshConnection = true;
    this->http.fetch(std::move(call), [id = engine.vm.id](const net::HttpResponse &answer) {
        if (answer.status != statusOk) {
            logEvent(Event::OrderRefused,
                     {{"engine", id}, {"status", std::to_string(answer.status)}});
        }
    });
}

std::string OrderService::leaseName(const std::string &service) const
{
    return service + "@" + this->node.settings.dataCentre;
}

std::string OrderService::holderId() const
{
    return this->node.settings.id + "#" + std::to_string(this->node.incarnation);
}

} // namespace plantainswitch
