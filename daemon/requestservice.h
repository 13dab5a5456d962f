#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "httpclient.h"
#include "httpserver.h"

#include "claimservice.h"
#include "node.h"
#include "slotclient.h"
#include "suspectbroadcaster.h"

namespace plantainswitch {

/// Serves callers' requests. Each gets a RequestHandler that parses and admits it, acquires a slot,
/// claims it if it is non-idempotent, dispatches it and relays the answer. The HTTP clients are
/// used in turn.
class RequestService
{
public:
    RequestService(Node &node, std::shared_ptr<SlotClient> slots,
                   std::shared_ptr<ClaimService> claims,
                   std::shared_ptr<SuspectBroadcaster> suspects,
                   std::vector<net::HttpClient *> clients);

    /// Starts to handle one request of a caller.
    void serve(net::HttpRequest request, std::shared_ptr<net::HttpResponder> reply);

private:
    Node &node;
    std::shared_ptr<SlotClient> slots;
    std::shared_ptr<ClaimService> claims;
    std::shared_ptr<SuspectBroadcaster> suspects;
    std::vector<net::HttpClient *> clients;
    std::atomic<std::size_t> nextClient = 0;
};

} // namespace plantainswitch
