#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "commands.h"
#include "fleettools.h"

using namespace plantainswitch;
using namespace plantainswitch::lab;
using namespace plantainswitch::ctl;

namespace {

constexpr std::uint16_t basePort = 29'900;
constexpr std::uint32_t routers = 3;
constexpr std::uint32_t operators = 4;
constexpr std::uint32_t editsOfOperator = 5;
constexpr const char *field = "maxStaleSeconds";
const EntryKey edited{EntryKind::DataClass, "regulated"};

/// Captures what is written to standard output.
class CapturedOutput
{
public:
    CapturedOutput()
        : before(std::cout.rdbuf(this->stream.rdbuf()))
    {}
    ~CapturedOutput() { std::cout.rdbuf(this->before); }
    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

    [[nodiscard]] nlohmann::json json() const
    {
        return nlohmann::json::parse(this->stream.str(), nullptr, false);
    }

private:
    std::ostringstream stream;
    std::streambuf *before;
};

/// An operator with an entry file of their own.
class Operator
{
public:
    Operator(const Fleet &fleet, std::uint32_t number)
        : platform("http://" + toText(platformOf(fleet.deployment)))
        , path(std::filesystem::temp_directory_path()
               / ("plantain-" + std::to_string(::getpid()) + "-" + std::to_string(number)))
    {}
    ~Operator() { std::filesystem::remove(this->path); }
    Operator(const Operator &) = delete;
    Operator &operator=(const Operator &) = delete;

    /// Reads the entry from the platform into the file.
    void read() { this->write(toJson(*this->platform.get(edited).object)); }
    [[nodiscard]] nlohmann::json file() const
    {
        std::ifstream stream(this->path);
        return nlohmann::json::parse(stream);
    }
    void change(const std::string &name, const nlohmann::json &value)
    {
        nlohmann::json text = this->file();
        text["body"][name] = value;
        this->write(text);
    }
    int apply() { return applyFile(this->platform, this->path, OutputFormat::Json); }
    [[nodiscard]] nlohmann::json stored() { return toJson(*this->platform.get(edited).object); }

private:
    void write(const nlohmann::json &text) const { std::ofstream(this->path) << text.dump(); }

    BlockingPlatformClient platform;
    std::string path;
};

class ApplyFixture
{
protected:
    ApplyFixture()
        : fleet(lowtherDeployment(basePort, routers))
    {
        REQUIRE(this->fleet.startAndConverge());
    }

    Fleet fleet;
};

} // namespace

TEST_CASE_METHOD(ApplyFixture, "apply_afterAnothersEdit_isToldAndLosesNothing", "[operatorapply]")
{
    // Guards against overwriting another operator's edit. Two operators read the same version of an
    // entry and edit different fields. The second must be told what is stored, keep its file, and
    // be able to apply its edit on top of the first one.
    Operator first(this->fleet, 1);
    Operator second(this->fleet, 2);
    first.read();
    second.read();
    first.change(field, 60);
    second.change("places", {"hall-a"});
    REQUIRE(first.apply() == exitOk);
    const nlohmann::json winner = first.stored();
    const nlohmann::json kept = second.file();
    {
        const CapturedOutput output;
        CHECK(second.apply() == exitConflict);
        const nlohmann::json reported = output.json();
        CHECK(reported.at("version") == winner.at("version"));
        CHECK(reported.at("difference").size() >= 2);
    }
    CHECK(second.file() == kept);
    CHECK(second.stored() == winner);
    second.read();
    second.change("places", {"hall-a"});
    REQUIRE(second.apply() == exitOk);
    const nlohmann::json both = second.stored();
    CHECK(both.at("body").at(field) == 60);
    CHECK(both.at("body").at("places") == nlohmann::json{"hall-a"});
    CHECK(this->fleet.eventuallyInForce(both.at("version")));
}

TEST_CASE_METHOD(ApplyFixture, "apply_manyOperatorsAtOnce_noEditIsLost", "[operatorapply]")
{
    // Guards against lost updates: several operators each add one to the same field, and read and
    // apply again after every conflict. An edit that was overwritten would be missing from the sum.
    std::atomic<std::uint32_t> unexpected = 0;
    const auto run = [&](std::uint32_t number) {
        Operator self(this->fleet, number);
        for (std::uint32_t done = 0; done < editsOfOperator && unexpected == 0;) {
            self.read();
            const auto value = self.file().at("body").at(field).get<std::uint32_t>();
            self.change(field, value + 1);
            const int exit = self.apply();
            done += exit == exitOk ? 1 : 0;
            unexpected += exit == exitOk || exit == exitConflict ? 0 : 1;
        }
    };
    std::vector<std::thread> threads;
    for (std::uint32_t number = 1; number <= operators; ++number) {
        threads.emplace_back(run, number);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(unexpected == 0);
    Operator reader(this->fleet, 0);
    const nlohmann::json last = reader.stored();
    CHECK(last.at("body").at(field) == operators * editsOfOperator);
    CHECK(this->fleet.eventuallyInForce(last.at("version")));
}

TEST_CASE_METHOD(ApplyFixture, "apply_answerLost_isUnknownAndSecondApplyWritesNothing",
                 "[operatorapply]")
{
    // Guards against reporting "not written" when the platform takes an edit but its response is
    // lost. Applying the same file again reports the conflict with the operator's own edit and
    // writes nothing.
    Operator self(this->fleet, 1);
    self.read();
    self.change(field, 60);
    this->fleet.setFaults({{"loseAnswers", 1}});
    int exit = exitOk;
    // The lost response may have been that of another write, such as a router's status.
    REQUIRE(Fleet::eventually([&] {
        exit = self.apply();
        if (exit == exitOk) {
            self.read();
            this->fleet.setFaults({{"loseAnswers", 1}});
        }
        return exit != exitOk;
    }));
    CHECK(exit == exitOutcomeUnknown);
    const nlohmann::json stored = self.stored();
    CHECK(stored.at("body").at(field) == 60);
    CHECK(self.apply() == exitConflict);
    CHECK(self.stored() == stored);
    CHECK(this->fleet.eventuallyInForce(stored.at("version")));
}
