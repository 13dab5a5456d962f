#include <catch2/catch.hpp>

#include "platformclient.h"

using namespace plantainswitch;
using namespace plantainswitch::net;

namespace {

constexpr int statusOk = 200;
constexpr int statusNotModified = 304;

/// Feeds the platform's responses to a VM list reader.
class VmListFixture
{
protected:
    static HttpResponse listing(const std::string &id, const std::string &tag)
    {
        Vm vm;
        vm.id = id;
        vm.endpoint = {"10.0.0.1", 9000};
        HttpResponse answer;
        answer.outcome = HttpOutcome::Complete;
        answer.status = statusOk;
        answer.headers = {{"etag", tag}};
        answer.body = nlohmann::json::array({toJson(vm)}).dump();
        return answer;
    }

    static HttpResponse notModified()
    {
        HttpResponse answer;
        answer.outcome = HttpOutcome::Complete;
        answer.status = statusNotModified;
        return answer;
    }

    VmListReader reader;
};

} // namespace

TEST_CASE_METHOD(VmListFixture, "vmList_notModified_isTheListReadBefore", "[vmlist]")
{
    const VmListPointer first = this->reader.read(listing("e0", "a"));
    REQUIRE(first != nullptr);
    CHECK(this->reader.etag() == "a");
    CHECK(this->reader.read(notModified()) == first);
    CHECK(this->reader.etag() == "a");
}

TEST_CASE_METHOD(VmListFixture, "vmList_sameBytesUnderNewTag_areNotReadAgain", "[vmlist]")
{
    const VmListPointer first = this->reader.read(listing("e0", "a"));
    CHECK(this->reader.read(listing("e0", "b")) == first);
    CHECK(this->reader.etag() == "b");
}

TEST_CASE_METHOD(VmListFixture, "vmList_changed_isReadAnew", "[vmlist]")
{
    static_cast<void>(this->reader.read(listing("e0", "a")));
    static_cast<void>(this->reader.read(notModified()));
    const VmListPointer next = this->reader.read(listing("e1", "b"));
    REQUIRE(next != nullptr);
    CHECK(next->front().id == "e1");
}

TEST_CASE_METHOD(VmListFixture, "vmList_notModifiedBeforeAnyList_isNoList", "[vmlist]")
{
    CHECK(this->reader.read(notModified()) == nullptr);
}

TEST_CASE_METHOD(VmListFixture, "vmList_failedAnswer_leavesTagAndListAsTheyWere", "[vmlist]")
{
    // A response is truncated between two complete ones. If it were accepted as a list, or its tag
    // remembered, the next "not modified" would refer to a list that was never read.
    const VmListPointer first = this->reader.read(listing("e0", "a"));
    HttpResponse broken = listing("e1", "b");
    broken.outcome = HttpOutcome::Broken;
    CHECK(this->reader.read(broken) == nullptr);
    HttpResponse garbage = listing("e1", "c");
    garbage.body = "[{";
    CHECK(this->reader.read(garbage) == nullptr);
    CHECK(this->reader.etag() == "a");
    CHECK(this->reader.read(notModified()) == first);
}
