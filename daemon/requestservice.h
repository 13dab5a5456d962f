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
class RequestPath
{
public:
    RequestPath(Node &node, std::shared_ptr<Slots> slots, std::shared_ptr<ClaimService> claims,
                std::shared_ptr<SuspectSharing> suspects, std::vector<net::HttpClient *> clients);

    /// Serves one request of a caller.
    void serve(net::HttpRequest request, std::shared_ptr<net::HttpReply> reply);

private:
    Node &node;
    std::shared_ptr<Slots> slots;
    std::shared_ptr<ClaimService> claims;
    std::shared_ptr<SuspectSharing> suspects;
    std::vector<net::HttpClient *> clients;
    std::atomic<std::size_t> nextClient = 0;
};

} // namespace plantainswitch
