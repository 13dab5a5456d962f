#include "requesthandler.h"

#include <fmt/format.h>

namespace plantainswitch {

void RequestHandler::acquireSlot()
{
    if (!this->readmit()) {
        return;
    }
    // The fingerprint covers the target as well as the body: calls of a plain service often have no
    // body, and all such calls of a workspace would be blamed for the one that crashes its
    // upstream.
    const std::uint64_t fingerprint = this->contentHash(hashOf(this->admission.workspace));
    if (this->node.suspects.statusOf(fingerprint, this->node.clock.now())
        == SuspectStatus::Quarantined) {
        logEvent(Event::RequestQuarantined,
                 {{"request", this->requestId}, {"workspace", this->admission.workspace}});
        this->refuseWith({ErrorKind::Quarantined, "", std::nullopt});
        return;
    }
    const std::string &chat = this->request.chatId.empty() ? this->requestId : this->request.chatId;
    const std::uint64_t chatHash = mixHash(hashOf(this->admission.workspace), hashOf(chat));
    Reason reason;
    auto plan = planPlacement(this->admission, chatHash, this->node.upstreams,
                              this->node.clock.now(), reason);
    if (!plan) {
        this->refuseWith(reason);
        return;
    }
    auto next = std::make_shared<SlotRequirements>();
    next->plan = std::move(*plan);
    next->chatHash = chatHash;
    next->fingerprint = fingerprint;
    next->workspace = workspaceIdOf(this->admission.workspace);
    next->weight = this->admission.workspaceEntry.weight;
    next->priority = this->admission.workspaceEntry.priority;
    next->waitMilliseconds = this->admission.serviceEntry.queueMilliseconds;
    if (this->slotRequirements) {
        next->avoid = this->slotRequirements->avoid;
        // Only after a failed attempt: a router that has just started learns of its peers late and
        // would otherwise take every chat to its own data centre.
        preferLiveDataCentres(next->plan, *this->node.members.active());
    }
    {
        const std::lock_guard lock(this->exchangeMutex);
        next->abandoned = this->callerGone && !this->request.nonIdempotent;
        this->slotRequirements = next;
    }
    this->slots->acquire(
        next,
        [self = this->shared_from_this()](std::string step) { self->addStep(std::move(step)); },
        [self = this->shared_from_this()](std::optional<HeldSlot> held, const Reason &why) {
            if (!held) {
                self->refuseWith(why);
                return;
            }
            self->claimOrDispatch(std::move(*held));
        });
}

void RequestHandler::releaseSlot()
{
    if (this->slot) {
        this->slots->release(*this->slot);
        this->slot.reset();
    }
}

} // namespace plantainswitch
