#include <catch2/catch.hpp>

#include "gatewayfixture.h"

using namespace plantainswitch;
using namespace plantainswitch::gateway;

TEST_CASE_METHOD(GatewayFixture, "gateway_storeNeverAnswersWatch_editIsInForceAllTheSame",
                 "[gateway]")
{
    // Guards against serving by old configuration while a watch waits that nobody will answer.
    this->start();
    this->ignoreWatches();
    this->editConfigSilently(8);
    CHECK(this->eventually([this] { return this->appliedConfigVersion() == 8; }));
}
