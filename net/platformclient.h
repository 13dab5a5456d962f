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

/// An object of the platform's API.
struct PlatformObject
{
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    /// Null for a tombstone, which stands for a deleted object.
    nlohmann::json body;
};

/// How a call to the platform ended.
enum class PlatformStatus : std::uint8_t {
    Ok,
    NotFound,
    /// The condition on the version did not hold; the response carries the current object.
    Conflict,
    /// Certainly not executed.
    Rejected,
    /// No usable response: a write may or may not have taken effect.
    Unknown,
};

struct PlatformResponse
{
    PlatformStatus status = PlatformStatus::Unknown;
    std::optional<PlatformObject> object;
    std::string detail;
};

/// The objects that changed at the platform after a version.
struct PlatformChanges
{
    /// Version up to which the list is complete.
    std::uint64_t version = 0;
    std::vector<PlatformObject> objects;
    /// Number of objects that were left out because they have no usable kind, name or version.
    std::size_t unreadable = 0;
};

/// The VMs of one list response.
using VmListPointer = std::shared_ptr<const std::vector<Vm>>;

/// Parses responses of the VM list. The list is polled every second and rarely changes: parsing
/// 11,200 lines each time would cost a watcher about 5% of a core. A response equal to the previous
/// one, or 304 for its ETag, returns the list that was parsed then.
class VmListReader
{
public:
    /// \returns the ETag for the next request, so that the platform may respond "not modified"; may
    /// be empty.
    [[nodiscard]] const std::string &etag() const noexcept { return this->lastEtag; }
    /// \returns the list in \a response, or null if there is none.
    VmListPointer read(const HttpResponse &response);

private:
    std::string lastEtag;
    std::uint64_t lastHash = 0;
    VmListPointer last;
};

/// A client of the platform's object API over HTTP.
class PlatformClient
{
public:
    using ResponseCallback = std::function<void(PlatformResponse)>;

    PlatformClient(HttpClient &http, std::string url)
        : http(http)
        , url(std::move(url))
    {}

    void get(const std::string &kind, const std::string &name, ResponseCallback done);
    /// Writes the object if its version is \a ifVersion; 0: if it does not exist.
    void put(const std::string &kind, const std::string &name, std::uint64_t ifVersion,
             const nlohmann::json &body, ResponseCallback done);
    /// Deletes the object if its version is \a ifVersion.
    void remove(const std::string &kind, const std::string &name, std::uint64_t ifVersion,
                ResponseCallback done);
    /// Lists the objects that changed after version \a after, waiting up to \a wait for a change.
    /// \a done receives nothing on failure.
    void listChanges(const std::string &kinds, std::uint64_t after, std::chrono::milliseconds wait,
                     std::function<void(std::optional<PlatformChanges>)> done);
    /// Lists the VMs; the platform's list lags behind. \a done receives null on failure. One call
    /// at a time.
    void listVms(std::function<void(VmListPointer)> done);

private:
    [[nodiscard]] HttpCall callTo(const std::string &method, const std::string &path) const;

    HttpClient &http;
    std::string url;
    std::shared_ptr<VmListReader> vmList = std::make_shared<VmListReader>();
};

/// \returns the object that \a json describes, or nothing if it is not one.
[[nodiscard]] std::optional<PlatformObject> parseObject(const nlohmann::json &json);
/// \returns the changes in the response \a text, or nothing if it is malformed.
[[nodiscard]] std::optional<PlatformChanges> parseChanges(std::string_view text);
/// \returns the VMs in the response \a text without lines that are no VM, or nothing if it is
/// malformed.
[[nodiscard]] std::optional<std::vector<Vm>> parseVmList(std::string_view text);
/// \returns the VM that \a json describes, or nothing if it is not a usable one.
[[nodiscard]] std::optional<Vm> parseVm(const nlohmann::json &json);
[[nodiscard]] nlohmann::json toJson(const PlatformObject &object);
[[nodiscard]] nlohmann::json toJson(const Vm &vm);

} // namespace plantainswitch::net
