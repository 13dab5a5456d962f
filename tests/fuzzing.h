#pragma once

#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace plantainswitch {

constexpr std::uint64_t fixedSeed = 20'261'202;
constexpr std::size_t byteRounds = 4000;
constexpr std::size_t fieldRounds = 4000;

/// Mutates valid samples. The same seed gives the same mutations in every run.
class FuzzFixture
{
protected:
    std::size_t randomBelow(std::size_t limit) { return this->random() % limit; }

    /// \returns \a sample after a few random changes of bytes.
    std::string mutateBytes(std::string sample)
    {
        for (std::size_t changes = 1 + this->randomBelow(4); changes > 0 && !sample.empty();
             --changes) {
            const std::size_t at = this->randomBelow(sample.size());
            switch (this->randomBelow(4)) {
            case 0:
                sample[at] = static_cast<char>(this->random());
                break;
            case 1:
                sample.erase(at, 1 + this->randomBelow(8));
                break;
            case 2:
                sample.insert(at, 1, static_cast<char>(this->random()));
                break;
            default:
                sample.insert(
                    at, sample.substr(this->randomBelow(sample.size()), this->randomBelow(32)));
                break;
            }
        }
        return sample;
    }

    /// \returns a value that a careless or hostile writer might use in place of another.
    nlohmann::json replacementValue()
    {
        static const std::vector<nlohmann::json> odd{nullptr,
                                                     true,
                                                     -1,
                                                     0,
                                                     65'536,
                                                     70'000,
                                                     1e300,
                                                     std::uint64_t{1} << 40,
                                                     "",
                                                     std::string(100'000, 'x'),
                                                     "\xc3\xa9",
                                                     nlohmann::json::array(),
                                                     nlohmann::json::object(),
                                                     {{"token", "secret"}},
                                                     {nullptr},
                                                     {"a", ""},
                                                     {{1, 2}, {3}}};
        return odd[this->randomBelow(odd.size())];
    }

    /// Replaces one value of \a document.
    /// \returns its path.
    std::string mutateField(nlohmann::json &document)
    {
        const nlohmann::json flat = document.flatten();
        auto chosen = flat.begin();
        std::advance(chosen, static_cast<std::ptrdiff_t>(this->randomBelow(flat.size())));
        document[nlohmann::json::json_pointer(chosen.key())] = this->replacementValue();
        return chosen.key();
    }

    std::mt19937_64 random{fixedSeed};
};

} // namespace plantainswitch
