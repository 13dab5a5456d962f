#include <asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include "peer.pb.h"

#include "plantainswitch/base/hash.h"

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

// Guards against reports of other routers that are not applied, and against a surge that operators
// cannot attribute to a workspace.
TEST_CASE_METHOD(GatewayFixture, "gateway_otherRouterReportsSurge_pageNamesWorkspace", "[gateway]")
{
    this->start();
    wire::GatewayDatagram datagram;
    wire::RouterNews &update = *datagram.mutable_news();
    update.set_id("router-1");
    update.set_incarnation(1);
    update.set_sequence(1);
    for (const auto &[workspace, current, usual] :
         {std::tuple{allWorkspaces, 200.0F, 100.0F}, std::tuple{hashOf("alpha"), 150.0F, 20.0F}}) {
        wire::WorkspaceUse *const entry = update.add_workspace_use();
        entry->set_workspace(workspace);
        entry->set_current_per_second(current);
        entry->set_usual_per_second(usual);
    }
    const Endpoint to = this->gateway->datagramEndpoint();
    asio::ip::udp::socket peer{this->callerContext, {asio::ip::make_address("127.0.0.1"), 0}};
    peer.send_to(asio::buffer(datagram.SerializeAsString()),
                 {asio::ip::make_address(to.host), to.port});
    CHECK(eventually([this] {
        return this->getInternalPage("/metrics")
                   .body.find("workspace_surge{workspace=\"alpha\"} 7.")
               != std::string::npos;
    }));
}
