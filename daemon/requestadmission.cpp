#include "requesthandler.h"

namespace plantainswitch {

/// Admits the request again if the catalogue has changed since it was admitted. Otherwise a request
/// that waited or is retried could be sent to a data centre after the edit that forbids it is in
/// force. Doing this before each slot is acquired is enough, because nothing is dispatched without
/// a slot.
/// \returns false if the request is no longer admitted and was refused.
bool RequestHandler::readmit()
{
    const auto view = this->node.catalogue.view();
    if (!view || view->version == this->admission.catalogueVersion) {
        return true;
    }
    Reason reason;
    auto admitted = admit(*view, this->request.token, this->request.service,
                          this->node.catalogue.staleness(this->node.clock.now()), reason);
    if (!admitted) {
        this->refuseWith(reason);
        return false;
    }
    this->admission = std::move(*admitted);
    return true;
}

/// While the request waited for its slot, an edit may have forbidden the upstream's data centre, or
/// the upstream may have begun to leave. The request then acquires another slot.
/// \returns whether the slot must not be used, because the request was refused or acquires another.
bool RequestHandler::rerouteIfStale(const HeldSlot &held)
{
    const auto view = this->node.catalogue.view();
    const auto upstream = this->node.upstreams.find(held.upstream.shortId);
    const bool leaving = !upstream || upstream->vm.leaving;
    if (!leaving && (!view || view->version == this->admission.catalogueVersion)) {
        return false;
    }
    if (!this->readmit()) {
        this->slots->release(held);
        return true;
    }
    if (!leaving && permits(this->admission, held.upstream.vm.dataCentre)) {
        return false;
    }
    this->addStep("placed anew: " + held.upstream.vm.id
                  + (leaving ? " is leaving" : " is forbidden"));
    this->slots->release(held);
    this->slotRequirements->avoid.push_back(held.upstream.shortId);
    this->acquireSlot();
    return true;
}

} // namespace plantainswitch
