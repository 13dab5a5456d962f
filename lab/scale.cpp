#include "scale.h"

namespace plantainswitch::lab {

namespace {

nlohmann::ordered_json toJson(const ScaleSeries &series)
{
    nlohmann::ordered_json points = nlohmann::ordered_json::array();
    for (const ScalePoint &point : series.points) {
        points.push_back({{"size", point.size}, {"value", point.value}});
    }
    const LinearFit line = fitLine(series.points);
    return {{"name", series.name},        {"size", series.size},         {"unit", series.unit},
            {"slope", line.slope},        {"intercept", line.intercept}, {"fit", line.fit},
            {"points", std::move(points)}};
}

} // namespace

LinearFit fitLine(const std::vector<ScalePoint> &points) noexcept
{
    if (points.empty()) {
        return {};
    }
    const auto count = static_cast<double>(points.size());
    double meanSize = 0;
    double meanValue = 0;
    for (const ScalePoint &point : points) {
        meanSize += point.size / count;
        meanValue += point.value / count;
    }
    double sizes = 0;
    double both = 0;
    double values = 0;
    for (const ScalePoint &point : points) {
        sizes += (point.size - meanSize) * (point.size - meanSize);
        both += (point.size - meanSize) * (point.value - meanValue);
        values += (point.value - meanValue) * (point.value - meanValue);
    }
    LinearFit line;
    line.slope = sizes > 0 ? both / sizes : 0;
    line.intercept = meanValue - line.slope * meanSize;
    line.fit = sizes > 0 && values > 0 ? both * both / (sizes * values) : 1;
    return line;
}

nlohmann::ordered_json scaleReport(const ScaleOptions &options)
{
    nlohmann::ordered_json series = nlohmann::ordered_json::array();
    for (const ScaleSeries &each : measureScale(options)) {
        series.push_back(toJson(each));
    }
    nlohmann::ordered_json messages = nlohmann::ordered_json::array();
    for (const MessageSize &each : messageSizes()) {
        messages.push_back({{"name", each.name}, {"bytes", each.bytes}});
    }
    return {{"repeats", options.repeats},
            {"shrink", options.shrink},
            {"series", std::move(series)},
            {"messages", std::move(messages)}};
}

} // namespace plantainswitch::lab
