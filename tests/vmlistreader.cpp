#include <catch2/catch.hpp>

#include "platformclient.h"

using namespace plantainswitch;
using namespace plantainswitch::net;

namespace {

constexpr int statusOk = 200;
constexpr int statusNotModified = 304;

/// Reads the platform's list of VMs, answer by answer.
class VmListFixture
{
protected:
    static HttpAnswer listing(const std::string &id, const std::string &tag)
    {
        Vm vm;
        vm.id = id;
        vm.endpoint = {"10.0.0.1", 9000};
        HttpAnswer answer;
        answer.end = HttpEnd::Whole;
        answer.status = statusOk;
        answer.headers = {{"etag", tag}};
        answer.body = nlohmann::json::array({toJson(vm)}).dump();
        return answer;
    }

    static HttpAnswer notModified()
    {
        HttpAnswer answer;
        answer.end = HttpEnd::Whole;
        answer.status = statusNotModified;
        return answer;
    }

    VmListReader reader;
};

} // namespace

TEST_CASE_METHOD(VmListFixture, "vmList_notModified_isTheListReadBefore", "[vmlist]")
{
    const VmListPointer first = this->reader.take(listing("e0", "a"));
    REQUIRE(first != nullptr);
    CHECK(this->reader.tag() == "a");
    CHECK(this->reader.take(notModified()) == first);
    CHECK(this->reader.tag() == "a");
}

TEST_CASE_METHOD(VmListFixture, "vmList_sameBytesUnderNewTag_areNotReadAgain", "[vmlist]")
{
    const VmListPointer first = this->reader.take(listing("e0", "a"));
    CHECK(this->reader.take(listing("e0", "b")) == first);
    CHECK(this->reader.tag() == "b");
}

TEST_CASE_METHOD(VmListFixture, "vmList_changed_isReadAnew", "[vmlist]")
{
    static_cast<void>(this->reader.take(listing("e0", "a")));
    static_cast<void>(this->reader.take(notModified()));
    const VmListPointer next = this->reader.take(listing("e1", "b"));
    REQUIRE(next != nullptr);
    CHECK(next->front().id == "e1");
}

TEST_CASE_METHOD(VmListFixture, "vmList_notModifiedBeforeAnyList_isNoList", "[vmlist]")
{
    CHECK(this->reader.take(notModified()) == nullptr);
}

TEST_CASE_METHOD(VmListFixture, "vmList_failedAnswer_leavesTagAndListAsTheyWere", "[vmlist]")
{
    // An answer breaks off between two whole ones. Taken as a list, or its tag remembered, the
    // next "not modified" would stand for a list that nobody has read.
    const VmListPointer first = this->reader.take(listing("e0", "a"));
    HttpAnswer broken = listing("e1", "b");
    broken.end = HttpEnd::Broken;
    CHECK(this->reader.take(broken) == nullptr);
    HttpAnswer garbage = listing("e1", "c");
    garbage.body = "[{";
    CHECK(this->reader.take(garbage) == nullptr);
    CHECK(this->reader.tag() == "a");
    CHECK(this->reader.take(notModified()) == first);
}
