#include "platformstandin.h"

#include "plantainswitch/base/clock.h"
#include "plantainswitch/base/hash.h"

#include <atomic>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <sstream>

#include <asio/steady_timer.hpp>

namespace plantainswitch::lab {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
constexpr int statusBad = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr std::uint64_t longestWait = 30'000;

using nlohmann::json;
using ReplyPointer = std::shared_ptr<net::HttpResponder>;

void respond(net::HttpResponder &reply, int status, const json &body)
{
    reply.respond(status, {{"content-type", "application/json"}}, body.dump());
}

std::uint64_t numberOf(std::string_view text)
{
    std::uint64_t number = 0;
    for (const char c : text) {
        if (c < '0' || c > '9') {
            return 0;
        }
        number = number * 10 + static_cast<std::uint64_t>(c - '0');
    }
    return number;
}

std::vector<std::string> splitPath(const std::string &path)
{
    std::vector<std::string> parts;
    std::stringstream stream(path);
    std::string part;
    while (std::getline(stream, part, '/')) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

struct Faults
{
    bool outage = false;
    /// Takes calls and answers none; those that wait when it begins are never answered.
    bool silent = false;
    std::uint64_t slowMilliseconds = 0;
    /// This many writes take effect but their answer is lost.
    std::uint64_t loseAnswers = 0;
    std::uint64_t vmLagMilliseconds = 500;
    /// The list of changes stays as it was when this was set.
    bool oldList = false;
};

struct VmChange
{
    TimePoint at;
    Vm vm;
    bool removed = false;
};

struct Watch
{
    std::string kinds;
    std::uint64_t after = 0;
    ReplyPointer reply;
    std::unique_ptr<asio::steady_timer> timer;
};

} // namespace

struct PlatformStandIn::State : public std::enable_shared_from_this<PlatformStandIn::State>
{
    explicit State(asio::io_context &context)
        : context(context)
    {}

    void serve(const net::HttpRequest &request, const ReplyPointer &reply);
    void serveObject(const net::HttpRequest &request, const std::vector<std::string> &parts,
                     const ReplyPointer &reply);
    void serveChanges(const net::HttpRequest &request, const ReplyPointer &reply);
    void serveVms(const net::HttpRequest &request, const std::vector<std::string> &parts,
                  const ReplyPointer &reply);
    void serveFaults(const net::HttpRequest &request, const ReplyPointer &reply);
    std::uint64_t write(const std::string &kind, const std::string &name, json body);
    [[nodiscard]] json changesFor(const std::string &kinds, std::uint64_t after,
                                  std::uint64_t until) const;
    void wakeWatches();
    /// Loses the calls that wait.
    void swallowWatches();
    void serveVmList(const net::HttpRequest &request, net::HttpResponder &reply);
    [[nodiscard]] json visibleVms(TimePoint now) const;

    asio::io_context &context;
    mutable std::mutex mutex;
    std::uint64_t version = 0;
    std::uint64_t frozenVersion = 0;
    std::map<std::pair<std::string, std::string>, net::PlatformObject> objects;
    std::deque<VmChange> vmChanges;
    std::list<Watch> watches;
    /// Calls that are never answered; their connections live on.
    std::vector<ReplyPointer> swallowed;
    Faults faults;
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> writes = 0;
    std::atomic<std::uint64_t> waits = 0;
};

void PlatformStandIn::State::serve(const net::HttpRequest &request, const ReplyPointer &reply)
{
    const std::vector<std::string> parts = splitPath(request.path);
    const std::lock_guard lock(this->mutex);
    if (request.path == "/faults") {
        this->serveFaults(request, reply);
        return;
    }
    if (request.path == "/calls") {
        respond(*reply, statusOk,
                {{"reads", this->reads.load()},
                 {"writes", this->writes.load()},
                 {"waits", this->waits.load()}});
        return;
    }
    ++(request.method == "GET" ? this->reads : this->writes);
    if (this->faults.silent) {
        this->swallowed.push_back(reply);
        return;
    }
    if (this->faults.outage) {
        respond(*reply, statusUnavailable, {{"error", "outage"}});
        return;
    }
    if (parts.size() == 1 && parts[0] == "objects" && request.method == "GET") {
        this->serveChanges(request, reply);
    } else if (parts.size() == 3 && parts[0] == "objects") {
        this->serveObject(request, parts, reply);
    } else if (!parts.empty() && parts[0] == "vms") {
        this->serveVms(request, parts, reply);
    } else {
        respond(*reply, statusNotFound, {{"error", "no such path"}});
    }
}

void PlatformStandIn::State::serveObject(const net::HttpRequest &request,
                                         const std::vector<std::string> &parts,
                                         const ReplyPointer &reply)
{
    const auto found = this->objects.find({parts[1], parts[2]});
    const bool exists = found != this->objects.end() && !found->second.body.is_null();
    if (request.method == "GET") {
        respond(*reply, exists ? statusOk : statusNotFound,
                exists ? toJson(found->second) : json::object());
        return;
    }
    const std::uint64_t current = exists ? found->second.version : 0;
    if (request.headers.contains("if-version")
        && numberOf(request.header("if-version")) != current) {
        respond(*reply, statusConflict, exists ? toJson(found->second) : json::object());
        return;
    }
    json body = request.method == "DELETE" ? json() : json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
        respond(*reply, statusBad, {{"error", "not JSON"}});
        return;
    }
    if (request.method == "DELETE" && !exists) {
        respond(*reply, statusNotFound, json::object());
        return;
    }
    this->write(parts[1], parts[2], std::move(body));
    if (this->faults.loseAnswers > 0) {
        --this->faults.loseAnswers;
        reply->start(statusOk, {});
        reply->abort();
        return;
    }
    const json answer = toJson(this->objects.at({parts[1], parts[2]}));
    if (this->faults.slowMilliseconds == 0) {
        respond(*reply, statusOk, answer);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(
        this->context, std::chrono::milliseconds(this->faults.slowMilliseconds));
    timer->async_wait(
        [timer, reply, answer](const asio::error_code &) { respond(*reply, statusOk, answer); });
}

std::uint64_t PlatformStandIn::State::write(const std::string &kind, const std::string &name,
                                            json body)
{
    ++this->version;
    this->objects[{kind, name}] = {kind, name, this->version, std::move(body)};
    this->wakeWatches();
    return this->version;
}

json PlatformStandIn::State::changesFor(const std::string &kinds, std::uint64_t after,
                                        std::uint64_t until) const
{
    json list = json::array();
    for (const auto &[key, object] : this->objects) {
        const bool wanted = ("," + kinds + ",").find("," + key.first + ",") != std::string::npos;
        if (wanted && object.version > after && object.version <= until) {
            list.push_back(toJson(object));
        }
    }
    return list;
}

void PlatformStandIn::State::serveChanges(const net::HttpRequest &request,
                                          const ReplyPointer &reply)
{
    const std::string kinds(request.parameter("kinds"));
    const std::uint64_t after = numberOf(request.parameter("after"));
    const std::uint64_t wait = std::min(numberOf(request.parameter("wait")), longestWait);
    const std::uint64_t until = this->faults.oldList ? this->frozenVersion : this->version;
    json list = this->changesFor(kinds, after, until);
    if (!list.empty() || wait == 0) {
        respond(*reply, statusOk, {{"version", until}, {"objects", std::move(list)}});
        return;
    }
    ++this->waits;
    Watch watch{kinds, after, reply, std::make_unique<asio::steady_timer>(this->context)};
    watch.timer->expires_after(std::chrono::milliseconds(wait));
    watch.timer->async_wait([self = this->shared_from_this(),
                             reply](const asio::error_code &error) {
        if (error) {
            return;
        }
        const std::lock_guard lock(self->mutex);
        self->watches.remove_if([&](const Watch &each) { return each.reply == reply; });
        // Only up to where its list reaches: a higher version would promise an edit that the
        // caller was never shown.
        const std::uint64_t reached = self->faults.oldList ? self->frozenVersion : self->version;
        respond(*reply, statusOk, {{"version", reached}, {"objects", json::array()}});
    });
    this->watches.push_back(std::move(watch));
}

void PlatformStandIn::State::wakeWatches()
{
    if (this->faults.oldList || this->faults.outage) {
        return;
    }
    for (auto each = this->watches.begin(); each != this->watches.end();) {
        json list = this->changesFor(each->kinds, each->after, this->version);
        if (list.empty()) {
            ++each;
            continue;
        }
        each->timer->cancel();
        respond(*each->reply, statusOk, {{"version", this->version}, {"objects", std::move(list)}});
        each = this->watches.erase(each);
    }
}

json PlatformStandIn::State::visibleVms(TimePoint now) const
{
    const Duration lag = std::chrono::milliseconds(this->faults.vmLagMilliseconds);
    std::map<std::string, Vm> visible;
    for (const VmChange &change : this->vmChanges) {
        if (change.at + lag > now) {
            continue;
        }
        if (change.removed) {
            visible.erase(change.vm.id);
        } else {
            visible[change.vm.id] = change.vm;
        }
    }
    json list = json::array();
    for (const auto &[id, vm] : visible) {
        list.push_back(net::toJson(vm));
    }
    return list;
}

void PlatformStandIn::State::serveVmList(const net::HttpRequest &request, net::HttpResponder &reply)
{
    std::string list = this->visibleVms(std::chrono::steady_clock::now()).dump();
    const std::string tag = '"' + std::to_string(hashOf(list)) + '"';
    if (request.header("if-none-match") == tag) {
        reply.respond(statusNotModified, {{"etag", tag}}, {});
        return;
    }
    reply.respond(statusOk, {{"content-type", "application/json"}, {"etag", tag}}, std::move(list));
}

void PlatformStandIn::State::serveVms(const net::HttpRequest &request,
                                      const std::vector<std::string> &parts,
                                      const ReplyPointer &reply)
{
    if (request.method == "GET") {
        this->serveVmList(request, *reply);
        return;
    }
    if (parts.size() != 2) {
        respond(*reply, statusBad, {{"error", "a VM needs an id"}});
        return;
    }
    if (request.method == "DELETE") {
        VmChange change{std::chrono::steady_clock::now(), {}, true};
        change.vm.id = parts[1];
        this->vmChanges.push_back(change);
    } else if (auto vm = net::parseVm(json::parse(request.body, nullptr, false))) {
        this->vmChanges.push_back({std::chrono::steady_clock::now(), *vm, false});
    } else {
        respond(*reply, statusBad, {{"error", "not a VM"}});
        return;
    }
    respond(*reply, statusOk, json::object());
}

void PlatformStandIn::State::swallowWatches()
{
    for (Watch &watch : this->watches) {
        watch.timer->cancel();
        this->swallowed.push_back(std::move(watch.reply));
    }
    this->watches.clear();
}

void PlatformStandIn::State::serveFaults(const net::HttpRequest &request, const ReplyPointer &reply)
{
    if (request.method == "PUT") {
        const json wanted = json::parse(request.body, nullptr, false);
        if (!wanted.is_object()) {
            respond(*reply, statusBad, {{"error", "not an object"}});
            return;
        }
        this->faults.outage = wanted.value("outage", this->faults.outage);
        this->faults.silent = wanted.value("silent", this->faults.silent);
        if (this->faults.silent) {
            this->swallowWatches();
        }
        this->faults.slowMilliseconds =
            wanted.value("slowMilliseconds", this->faults.slowMilliseconds);
        this->faults.loseAnswers = wanted.value("loseAnswers", this->faults.loseAnswers);
        this->faults.vmLagMilliseconds =
            wanted.value("vmLagMilliseconds", this->faults.vmLagMilliseconds);
        const bool oldList = wanted.value("oldList", this->faults.oldList);
        if (oldList && !this->faults.oldList) {
            this->frozenVersion = this->version;
        }
        this->faults.oldList = oldList;
        this->wakeWatches();
        if (this->faults.outage) {
            for (Watch &watch : this->watches) {
                watch.timer->cancel();
                respond(*watch.reply, statusUnavailable, {{"error", "outage"}});
            }
            this->watches.clear();
        }
    }
    respond(*reply, statusOk,
            {{"outage", this->faults.outage},
             {"silent", this->faults.silent},
             {"slowMilliseconds", this->faults.slowMilliseconds},
             {"loseAnswers", this->faults.loseAnswers},
             {"vmLagMilliseconds", this->faults.vmLagMilliseconds},
             {"oldList", this->faults.oldList}});
}

PlatformStandIn::PlatformStandIn(asio::io_context &context, const Endpoint &endpoint)
    : state(std::make_shared<State>(context))
    , server(std::make_unique<net::HttpServer>(
          context, net::HttpServerOptions{endpoint.host, endpoint.port},
          [state = this->state](const net::HttpRequest &request, const ReplyPointer &reply) {
              state->serve(request, reply);
          }))
{}

PlatformStandIn::~PlatformStandIn()
{
    const std::lock_guard lock(this->state->mutex);
    this->state->watches.clear();
    this->state->swallowed.clear();
}

void PlatformStandIn::open()
{
    this->server->open();
}

std::uint64_t PlatformStandIn::set(const std::string &kind, const std::string &name, json body)
{
    const std::lock_guard lock(this->state->mutex);
    return this->state->write(kind, name, std::move(body));
}

void PlatformStandIn::setVm(const Vm &vm)
{
    const std::lock_guard lock(this->state->mutex);
    this->state->vmChanges.push_back({std::chrono::steady_clock::now(), vm, false});
}

std::uint64_t PlatformStandIn::calls() const
{
    return this->state->reads + this->state->writes;
}

} // namespace plantainswitch::lab
