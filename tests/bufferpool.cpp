#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "plantainswitch/base/bufferpool.h"

using namespace plantainswitch;

namespace {

constexpr std::size_t capacity = std::size_t{32} << 20;
constexpr std::size_t piece = std::size_t{64} << 10;

class BufferPoolFixture
{
protected:
    /// Adds buffers that grow piece by piece, in turn, until none may grow further.
    void growWithoutEnd(std::size_t count)
    {
        std::vector<std::size_t> sizes(count, 0);
        for (std::size_t i = 0; i < count; ++i) {
            this->shares.push_back(std::make_unique<BufferShare>(this->pool));
        }
        bool hasGrown = true;
        while (hasGrown) {
            hasGrown = false;
            for (std::size_t i = 0; i < count; ++i) {
                if (this->shares[i]->resize(sizes[i] + piece)) {
                    sizes[i] += piece;
                    hasGrown = true;
                }
            }
        }
    }

    BufferPool pool{capacity};
    std::vector<std::unique_ptr<BufferShare>> shares;
};

} // namespace

TEST_CASE_METHOD(BufferPoolFixture, "bufferPool_manyGrowWithoutEnd_othersHaveRoom", "[base]")
{
    // Guards against responses without end that take all memory, alone or together.
    const std::size_t count = GENERATE(1, 10, 300);
    this->growWithoutEnd(count);
    CHECK(this->pool.used() < capacity);
    BufferShare other(this->pool);
    CHECK(other.resize(bufferReserve));
    CHECK(other.resize(bufferReserve + capacity / (4 * count + 4)));
}

TEST_CASE_METHOD(BufferPoolFixture, "bufferPool_allHoldTheirReserve_nothingIsUsed", "[base]")
{
    for (int i = 0; i < 1000; ++i) {
        this->shares.push_back(std::make_unique<BufferShare>(this->pool));
        REQUIRE(this->shares.back()->resize(bufferReserve));
    }
    CHECK(this->pool.used() == 0);
}

TEST_CASE_METHOD(BufferPoolFixture, "bufferPool_bufferEnds_itsBytesAreFree", "[base]")
{
    this->growWithoutEnd(3);
    CHECK(this->pool.used() > 0);
    this->shares.clear();
    CHECK(this->pool.used() == 0);
    BufferShare large(this->pool);
    CHECK(large.resize(capacity / 2));
    CHECK_FALSE(large.resize(capacity));
    large.clear();
    CHECK(this->pool.used() == 0);
}
