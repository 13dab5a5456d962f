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

/// The way of a request: parse, admit, place, claim if non-idempotent, dispatch, relay, account.
class RequestService
{
public:
    RequestService(Node &node, std::shared_ptr<SlotClient> slots,
                   std::shared_ptr<ClaimService> claims,
                   std::shared_ptr<SuspectBroadcaster> suspects,
                   std::vector<net::HttpClient *> clients);

    /// Serves one request of a caller.
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
