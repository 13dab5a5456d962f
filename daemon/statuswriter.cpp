#include "statuswriter.h"

#include <asio/post.hpp>

namespace plantainswitch {

namespace {

constexpr std::chrono::milliseconds statusPeriod{5000};
constexpr const char *statusKind = "status";

} // namespace

StatusWriter::StatusWriter(asio::io_context &context, Node &node, net::HttpClient &http)
    : node(node)
    , platform(http, node.settings.platformUrl)
    , strand(asio::make_strand(context))
    , timer(strand)
{}

void StatusWriter::start()
{
    asio::post(this->strand, [self = this->shared_from_this()] { self->schedule(); });
}

void StatusWriter::schedule()
{
    this->timer.expires_after(statusPeriod);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->writeIfChanged();
            self->schedule();
        }
    });
}

bool StatusWriter::isFirstWatcher() const
{
    const auto watchers =
        watchersOf(this->node.settings.dataCentre, *this->node.members.active(), 1);
    return !watchers.empty() && watchers.front().id == this->node.settings.id;
}

nlohmann::json StatusWriter::body() const
{
    const Heartbeat own = this->node.heartbeat();
    nlohmann::json versions = nlohmann::json::object();
    std::uint64_t lowest = own.catalogueVersion;
    for (const Heartbeat &member : this->node.members.all()) {
        if (member.dataCentre != own.dataCentre) {
            continue;
        }
        const std::uint64_t version =
            member.id == own.id ? own.catalogueVersion : member.catalogueVersion;
        versions[member.id] = version;
        lowest = std::min(lowest, version);
    }
    nlohmann::json unreadable = nlohmann::json::array();
    for (const EntryKey &key : this->node.catalogue.unreadable()) {
        unreadable.push_back(std::string(nameOf(key.kind)) + "/" + key.name);
    }
    return {{"place", own.dataCentre},
            {"routers", versions.size()},
            {"lowestVersion", lowest},
            {"versions", versions},
            {"unreadable", unreadable}};
}

void StatusWriter::writeIfChanged()
{
    if (this->writeInFlight || !this->isFirstWatcher()) {
        return;
    }
    nlohmann::json wanted = this->body();
    if (wanted == this->lastWritten) {
        return;
    }
    this->writeInFlight = true;
    this->node.metrics.count(Counter::PlatformCalls);
    this->platform.put(
        statusKind, this->node.settings.dataCentre, this->version, wanted,
        [self = this->shared_from_this(), wanted](const net::PlatformResponse &answer) {
            asio::post(self->strand,
                       [self, wanted, answer] { self->handleResponse(answer, wanted); });
        });
}

void StatusWriter::handleResponse(const net::PlatformResponse &answer, const nlohmann::json &body)
{
    this->writeInFlight = false;
    if (answer.status == net::PlatformStatus::Ok) {
        this->version = answer.object->version;
        this->lastWritten = body;
    } else if (answer.status == net::PlatformStatus::Conflict) {
        // An earlier watcher wrote the object, or a write of this router took effect without a
        // response. The next round overwrites the version that is there.
        this->version = answer.object ? answer.object->version : 0;
    }
}

} // namespace plantainswitch
