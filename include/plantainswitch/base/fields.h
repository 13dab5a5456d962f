#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "plantainswitch/catalogue/parse.h"
#include "plantainswitch/membership/vm.h"

namespace plantainswitch {

/// Reads the fields of one JSON object. Collects every fault and every unknown field.
class FieldReader
{
public:
    /// \param object to read; anything but an object is a fault
    /// \param path of the object within its document, such as "/peer"
    /// \param faults receives the faults
    FieldReader(const nlohmann::json &object, std::string path, std::vector<Fault> &faults);

    /// Reads a string of 1 to \a maxLength bytes. \a value keeps its content when the field is
    /// absent and not \a required.
    void read(std::string_view name, std::string &value, bool required = false,
              std::size_t maxLength = 256);
    /// Reads an integer from \a min to \a max.
    void read(std::string_view name, std::uint32_t &value, std::uint32_t min, std::uint32_t max,
              bool required = false);
    /// Reads a number from \a min to \a max, with or without a fraction.
    void read(std::string_view name, double &value, double min, double max);
    /// Reads an IP address, a colon and a port.
    void read(std::string_view name, Endpoint &value, bool required);
    /// Reads true or false.
    void read(std::string_view name, bool &value);
    /// Reads a list of non-empty strings; at least one when \a required.
    void read(std::string_view name, std::vector<std::string> &value, bool required = false);
    /// Reads a list of IP addresses, each with a colon and a port.
    void read(std::string_view name, std::vector<Endpoint> &value);
    /// Reads one name out of \a names; \a index receives its position.
    void readName(std::string_view name, std::size_t &index,
                  const std::vector<std::string_view> &names);
    /// \returns the nested object with that name, or an empty object when absent.
    [[nodiscard]] const nlohmann::json &child(std::string_view name);
    /// \returns the path of the field \a name.
    [[nodiscard]] std::string pathOf(std::string_view name) const;
    /// Reports each field that was not read as a fault.
    void finish();

private:
    const nlohmann::json *find(std::string_view name, bool required, std::string_view allowed);
    void fault(std::string_view name, const nlohmann::json &found, std::string allowed);

    const nlohmann::json &object;
    std::string path;
    std::vector<Fault> &faults;
    std::set<std::string, std::less<>> known;
};

} // namespace plantainswitch
