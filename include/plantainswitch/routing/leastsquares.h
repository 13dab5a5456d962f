#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace plantainswitch {

/// Recursive least squares with exponential forgetting over \a N features.
template<std::size_t N>
class RecursiveLeastSquares
{
public:
    using Vector = std::array<double, N>;

    /// \param prior coefficients before the first sample
    /// \param deviation standard deviation of each prior coefficient
    /// \param noise standard deviation of one sample
    /// \param forgetting factor by which older samples decay with each new one of full weight;
    /// below 1
    RecursiveLeastSquares(const Vector &prior, const Vector &deviation, double noise,
                          double forgetting)
        : coefficients(prior)
        , noiseVariance(noise * noise)
        , forgetting(forgetting)
    {
        for (std::size_t i = 0; i < N; ++i) {
            this->priorVariance[i] = deviation[i] * deviation[i];
            this->covariance[i][i] = this->priorVariance[i];
        }
    }

    /// Adds a sample.
    /// \param weight its share of a full sample, above 0
    void update(const Vector &features, double observed, double weight)
    {
        this->forget(std::pow(this->forgetting, weight));
        const Vector spread = this->spreadOf(features);
        double variance = this->noiseVariance / weight;
        for (std::size_t i = 0; i < N; ++i) {
            variance += features[i] * spread[i];
        }
        const double error = observed - this->predict(features);
        for (std::size_t i = 0; i < N; ++i) {
            const double gain = spread[i] / variance;
            this->coefficients[i] += gain * error;
            for (std::size_t j = 0; j < N; ++j) {
                this->covariance[i][j] -= gain * spread[j];
            }
        }
    }

    /// Limits a coefficient to the range from \a min to \a max.
    void clamp(std::size_t index, double min, double max)
    {
        this->coefficients[index] = std::clamp(this->coefficients[index], min, max);
    }

    [[nodiscard]] double predict(const Vector &features) const noexcept
    {
        double sum = 0.0;
        for (std::size_t i = 0; i < N; ++i) {
            sum += this->coefficients[i] * features[i];
        }
        return sum;
    }

    [[nodiscard]] double coefficient(std::size_t index) const { return this->coefficients[index]; }

    /// \returns the standard deviation of a coefficient.
    [[nodiscard]] double deviation(std::size_t index) const
    {
        return std::sqrt(std::max(0.0, this->covariance[index][index]));
    }

private:
    using Matrix = std::array<Vector, N>;

    [[nodiscard]] Vector spreadOf(const Vector &features) const
    {
        Vector spread{};
        for (std::size_t i = 0; i < N; ++i) {
            for (std::size_t j = 0; j < N; ++j) {
                spread[i] += this->covariance[i][j] * features[j];
            }
        }
        return spread;
    }

    /// Increases the covariance as older samples decay, up to the prior variance. Without that
    /// limit, a coefficient whose feature stays constant becomes ever less certain, and the first
    /// sample that differs moves it far off. Each row and its column are scaled alike, so that the
    /// covariance stays symmetric and positive definite.
    void forget(double factor)
    {
        Vector scale;
        for (std::size_t i = 0; i < N; ++i) {
            const bool isLimited = this->covariance[i][i] > this->priorVariance[i] * factor;
            scale[i] = isLimited ? 1.0 : 1.0 / std::sqrt(factor);
        }
        for (std::size_t i = 0; i < N; ++i) {
            for (std::size_t j = 0; j < N; ++j) {
                this->covariance[i][j] *= scale[i] * scale[j];
            }
        }
    }

    Vector coefficients;
    Vector priorVariance{};
    Matrix covariance{};
    double noiseVariance;
    double forgetting;
};

} // namespace plantainswitch
