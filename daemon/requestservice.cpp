#include "requestservice.h"

#include "requesthandler.h"

namespace plantainswitch {

RequestPath::RequestPath(Node &node, std::shared_ptr<Slots> slots,
                         std::shared_ptr<ClaimService> claims,
                         std::shared_ptr<SuspectSharing> suspects,
                         std::vector<net::HttpClient *> clients)
    : node(node)
    , slots(std::move(slots))
    , claims(std::move(claims))
    , suspects(std::move(suspects))
    , clients(std::move(clients))
{}

void RequestPath::serve(net::HttpRequest request, std::shared_ptr<net::HttpReply> reply)
{
    net::HttpClient &client = *this->clients[this->nextClient++ % this->clients.size()];
    auto passage = std::make_shared<Passage>(this->node, this->slots, this->claims, this->suspects,
                                             client, std::move(reply));
    passage->run(std::move(request));
}

} // namespace plantainswitch
