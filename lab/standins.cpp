#include "standins.h"

namespace plantainswitch::lab {

StandIns::StandIns(asio::io_context &context, const Deployment &deployment)
    : platform(context, platformOf(deployment))
    , runs(std::make_shared<RunCounts>())
    , orders(std::make_shared<ServiceOrders>())
{
    for (const Entry &entry : deployment.entries) {
        this->platform.set(std::string(nameOf(entry.key.kind)), entry.key.name,
                           toJson(*entry.body));
    }
    EngineSpeed speed;
    speed.batch = deployment.engineCapacity;
    for (const Vm &vm : upstreamsOf(deployment)) {
        this->platform.setVm(vm);
        if (vm.role == VmRole::Engine) {
            this->engines.push_back(std::make_unique<EngineStandIn>(context, vm, speed));
        } else {
            this->services.push_back(
                std::make_unique<ServiceStandIn>(context, vm, this->runs, this->orders));
        }
    }
    for (const RouterLayout &router : routersOf(deployment)) {
        this->platform.setVm(
            {router.id, VmRole::Router, "", router.place, router.datagrams, false});
    }
}

void StandIns::open()
{
    this->platform.open();
    for (const auto &engine : this->engines) {
        engine->open();
    }
    for (const auto &service : this->services) {
        service->open();
    }
}

} // namespace plantainswitch::lab
