#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "callerrequest.h"
#include "refusal.h"
#include "settings.h"

using namespace plantainswitch;

namespace {

namespace files = std::filesystem;

files::path root()
{
    return files::path(EVENTS_PAGE).parent_path().parent_path();
}

std::string textOf(const files::path &path)
{
    std::ifstream file(path);
    INFO(path);
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// \returns the cells of each table row of \a page whose first cell is code, by that cell.
std::map<std::string, std::vector<std::string>> codeRows(const std::string &page)
{
    std::map<std::string, std::vector<std::string>> rows;
    std::istringstream lines(page);
    const std::regex row(R"(\| `([^`]+)` \| (.*) \|)");
    for (std::string line; std::getline(lines, line);) {
        std::smatch match;
        if (!std::regex_match(line, match, row)) {
            continue;
        }
        std::istringstream cells(match[2]);
        for (std::string cell; std::getline(cells, cell, '|');) {
            const std::size_t first = cell.find_first_not_of(' ');
            const std::size_t last = cell.find_last_not_of(' ');
            rows[match[1]].push_back(
                first == std::string::npos ? "" : cell.substr(first, last - first + 1));
        }
    }
    return rows;
}

/// \returns the rows of \a page that differ from the table of error kinds.
std::vector<std::string> staleErrorRows(const std::string &page)
{
    std::vector<std::string> stale;
    const auto rows = codeRows(page);
    for (unsigned index = 0; index <= static_cast<unsigned>(ErrorKind::Internal); ++index) {
        const ErrorRow &row = errorRow(static_cast<ErrorKind>(index));
        const std::string retry = row.retryAfter ? std::to_string(*row.retryAfter) + " s" : "-";
        const std::vector<std::string> wanted{std::to_string(row.status),
                                              std::string(nameOf(row.ran)), retry};
        const auto found = rows.find(std::string(row.name));
        if (found == rows.end() || found->second.size() < wanted.size()
            || !std::equal(wanted.begin(), wanted.end(), found->second.begin())) {
            stale.emplace_back(row.name);
        }
    }
    return stale;
}

} // namespace

TEST_CASE("callersPage_errorTable_isTheCodes", "[pages]")
{
    CHECK(staleErrorRows(textOf(root() / "docs/CALLERS.md")).empty());
}

TEST_CASE("callersPage_oneNumberChanged_isNoticed", "[pages]")
{
    std::string page = textOf(root() / "docs/CALLERS.md");
    const std::size_t at = page.find("| `overloaded` | 503 |");
    REQUIRE(at != std::string::npos);
    page.replace(at, 22, "| `overloaded` | 504 |");
    CHECK(staleErrorRows(page) == std::vector<std::string>{"overloaded"});
}

TEST_CASE("callersPage_headersAndFields_areTheCodes", "[pages]")
{
    const std::string page = textOf(root() / "docs/CALLERS.md");
    for (const std::string_view header : {chatHeader, idempotencyKeyHeader, nonIdempotentHeader,
                                          keyIssuedHeader, requestIdHeader}) {
        INFO(header);
        CHECK(page.find("`" + std::string(header) + "`") != std::string::npos);
    }
    const auto body = nlohmann::json::parse(refusalBody({}, "1"));
    for (const auto &[field, value] : body["error"].items()) {
        INFO(field);
        CHECK(page.find("`" + field + "`") != std::string::npos);
    }
}

TEST_CASE("exampleSettings_everyFile_isAccepted", "[pages]")
{
    std::size_t seen = 0;
    for (const auto &file : files::directory_iterator(root() / "settings")) {
        if (!file.is_regular_file()) {
            continue;
        }
        std::vector<Fault> faults;
        INFO(file.path());
        CHECK(parseSettings(textOf(file.path()), faults));
        for (const Fault &fault : faults) {
            FAIL_CHECK(toText(fault));
        }
        ++seen;
    }
    CHECK(seen >= 3);
}

TEST_CASE("exampleEntries_everyFile_isAccepted", "[pages]")
{
    for (const auto &file : files::directory_iterator(root() / "settings/catalogue")) {
        INFO(file.path());
        std::vector<Fault> faults;
        const auto json = parseJson(textOf(file.path()), faults);
        REQUIRE(json);
        const auto kind = entryKindOf((*json)["kind"].get<std::string>());
        REQUIRE(kind);
        CHECK(parseEntry(*kind, (*json)["body"], faults));
        for (const Fault &fault : faults) {
            FAIL_CHECK(toText(fault));
        }
    }
}

TEST_CASE("operatingPage_everySetting_isListed", "[pages]")
{
    const std::string page = textOf(root() / "docs/OPERATIONS.md");
    const auto rows = codeRows(page);
    const auto all = nlohmann::json::parse(textOf(root() / "settings/cooperative.json")).flatten();
    for (const auto &[path, value] : all.items()) {
        INFO(path);
        const std::string setting = std::regex_replace(path, std::regex("/[0-9]+$"), "");
        CHECK(rows.contains(setting));
    }
}

TEST_CASE("designPage_everyNamedTest_exists", "[pages]")
{
    std::string tests;
    for (const auto &file : files::directory_iterator(root() / "tests")) {
        tests += textOf(file.path());
    }
    const std::string page =
        textOf(root() / "docs/DESIGN.md") + textOf(root() / "docs/MEASUREMENTS.md");
    const std::regex name(R"(`([a-zA-Z]+_[a-zA-Z]+_[a-zA-Z]+)`)");
    std::size_t seen = 0;
    for (std::sregex_iterator each(page.begin(), page.end(), name), end; each != end; ++each) {
        INFO((*each)[1]);
        CHECK(tests.find("\"" + (*each)[1].str() + "\"") != std::string::npos);
        ++seen;
    }
    CHECK(seen > 0);
}

TEST_CASE("pages_everyRelativeLink_leadsSomewhere", "[pages]")
{
    const std::regex link(R"(\]\(([^)#:]+)(#[^)]*)?\))");
    for (const auto &file : files::recursive_directory_iterator(root() / "docs")) {
        if (file.path().extension() != ".md") {
            continue;
        }
        const std::string text = textOf(file.path());
        for (std::sregex_iterator each(text.begin(), text.end(), link), end; each != end; ++each) {
            INFO(file.path() << " " << (*each)[1]);
            CHECK(files::exists(file.path().parent_path() / (*each)[1].str()));
        }
    }
}
