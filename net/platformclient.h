#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "plantainswitch/membership/vm.h"

#include "httpclient.h"

namespace plantainswitch::net {

/// An object of the platform, as its API hands it out.
struct PlatformObject
{
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    /// null for a tombstone.
    nlohmann::json body;
};

/// How a call to the platform ended.
enum class PlatformStatus : std::uint8_t {
    Ok,
    NotFound,
    /// The condition on the version did not hold; the current object is handed out.
    Conflict,
    /// Certainly not carried out.
    Rejected,
    /// No answer: a write may or may not have taken effect.
    Unknown,
};

struct PlatformResponse
{
    PlatformStatus status = PlatformStatus::Unknown;
    std::optional<PlatformObject> object;
    std::string detail;
};

/// What changed at the platform after a version.
struct PlatformChanges
{
    /// Version up to which the list is complete.
    std::uint64_t version = 0;
    std::vector<PlatformObject> objects;
    /// Objects without a usable kind, name or version, which are left out.
    std::size_t unreadable = 0;
};

/// VMs as one answer listed them.
using VmListPointer = std::shared_ptr<const std::vector<Vm>>;

/// Reads answers of the list of VMs. The list is asked for each second and seldom changes: read
/// anew each time, 11,200 lines would cost a watcher some 5% of a core. An answer equal to the
/// one before, or 304 to its tag, gives the list that was read then.
class VmListReader
{
public:
    /// \returns the tag to ask with, so that the platform may answer "not modified"; may be empty.
    [[nodiscard]] const std::string &etag() const noexcept { return this->lastEtag; }
    /// \returns the list of \a answer, or nothing when it is none.
    VmListPointer read(const HttpResponse &answer);

private:
    std::string lastEtag;
    std::uint64_t lastHash = 0;
    VmListPointer last;
};

/// The platform's object API over HTTP.
class PlatformClient
{
public:
    using ResponseCallback = std::function<void(PlatformResponse)>;

    PlatformClient(HttpClient &http, std::string url)
        : http(http)
        , url(std::move(url))
    {}

    void get(const std::string &kind, const std::string &name, ResponseCallback done);
    /// Writes if the object's version is \a ifVersion; 0: if there is none.
    void put(const std::string &kind, const std::string &name, std::uint64_t ifVersion,
             const nlohmann::json &body, ResponseCallback done);
    /// Deletes if the object's version is \a ifVersion.
    void remove(const std::string &kind, const std::string &name, std::uint64_t ifVersion,
                ResponseCallback done);
    /// Lists what changed after version \a after, waiting up to \a wait for a change.
    void listChanges(const std::string &kinds, std::uint64_t after, std::chrono::milliseconds wait,
                     std::function<void(std::optional<PlatformChanges>)> done);
    /// Lists the VMs; the list lags. \a done gets nothing when no list came. One call at a time.
    void listVms(std::function<void(VmListPointer)> done);

private:
    [[nodiscard]] HttpCall callTo(const std::string &method, const std::string &path) const;

    HttpClient &http;
    std::string url;
    std::shared_ptr<VmListReader> vmList = std::make_shared<VmListReader>();
};

/// \returns the object that \a json describes, or nothing.
[[nodiscard]] std::optional<PlatformObject> parseObject(const nlohmann::json &json);
/// \returns the changes that the answer \a text lists, or nothing when it is no such answer.
[[nodiscard]] std::optional<PlatformChanges> parseChanges(std::string_view text);
/// \returns the VMs that the answer \a text lists, or nothing when it is no such answer; a line
/// that is no VM is left out.
[[nodiscard]] std::optional<std::vector<Vm>> parseVmList(std::string_view text);
/// \returns the VM that \a json describes, or nothing.
[[nodiscard]] std::optional<Vm> parseVm(const nlohmann::json &json);
[[nodiscard]] nlohmann::json toJson(const PlatformObject &object);
[[nodiscard]] nlohmann::json toJson(const Vm &vm);

} // namespace plantainswitch::net
