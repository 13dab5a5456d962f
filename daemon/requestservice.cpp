#include "requestservice.h"

#include "requesthandler.h"

namespace plantainswitch {

RequestService::RequestService(Node &node, std::shared_ptr<SlotClient> slots,
                               std::shared_ptr<ClaimService> claims,
                               std::shared_ptr<SuspectBroadcaster> suspects,
                               std::vector<net::HttpClient *> clients)
    : node(node)
    , slots(std::move(slots))
    , claims(std::move(claims))
    , suspects(std::move(suspects))
    , clients(std::move(clients))
{}

void RequestService::serve(net::HttpRequest request, std::shared_ptr<net::HttpResponder> reply)
{
    net::HttpClient &client = *this->clients[this->nextClient++ % this->clients.size()];
    auto passage = std::make_shared<RequestHandler>(this->node, this->slots, this->claims,
                                                    this->suspects, client, std::move(reply));
    passage->run(std::move(request));
}

} // namespace plantainswitch
