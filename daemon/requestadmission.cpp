#include "requesthandler.h"

namespace plantainswitch {

/// A request that waited or is retried was admitted by a view that may be old by now. Serving it
/// by that view would send data to a place after the edit that forbade it is in force; admitting
/// it again before each placement is enough, as nothing is dispatched without being placed.
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

/// While the slot was waited for, an edit may have forbidden the upstream's place, or the
/// upstream may have begun to leave. The request is then placed anew.
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
