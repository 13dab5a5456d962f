#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

TEST_CASE_METHOD(GatewayFixture, "gateway_storeNeverAnswersWatch_editIsInForceAllTheSame",
                 "[gateway]")
{
    // Guards against using an outdated configuration while a watch waits that never gets a
    // response.
    this->start();
    this->ignoreWatches();
    this->editConfigSilently(8);
    CHECK(this->eventually([this] { return this->appliedConfigVersion() == 8; }));
}
