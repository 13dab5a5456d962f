#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace plantainswitch::lab {

/// One measured point of a series.
struct ScalePoint
{
    double size = 0;
    double value = 0;
};

/// How one cost grows with one size, everything else held still.
struct ScaleSeries
{
    /// Part and operation, such as "catalogue.merge-one-edit".
    std::string name;
    /// What the size counts, such as "workspaces".
    std::string size;
    /// Unit of the value, such as "ns" or "bytes".
    std::string unit;
    std::vector<ScalePoint> points;
};

/// A straight line through points.
struct LinearFit
{
    double slope = 0;
    double intercept = 0;
    /// Share of the variance that the line explains; 1 when all points lie on it.
    double fit = 0;
};

/// \returns the least squares line through \a points.
[[nodiscard]] LinearFit fitLine(const std::vector<ScalePoint> &points) noexcept;

/// How much is measured.
struct ScaleOptions
{
    /// Runs of each point; the median counts.
    unsigned repeats = 5;
    /// Divides each size; above 1 for a quick look.
    unsigned shrink = 1;
};

/// Size of one message on the wire or of one object.
struct MessageSize
{
    std::string name;
    std::size_t bytes = 0;
};

/// \returns the time and memory series over the library's own code.
[[nodiscard]] std::vector<ScaleSeries> measureScale(const ScaleOptions &options);
/// \returns the payload sizes of messages between routers with realistic contents.
[[nodiscard]] std::vector<MessageSize> messageSizes();

/// \returns everything measured, with the fitted lines.
[[nodiscard]] nlohmann::ordered_json scaleReport(const ScaleOptions &options);

} // namespace plantainswitch::lab
