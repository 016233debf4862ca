#pragma once

#include <geraniumpulley/core/batch/batch.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace geraniumpulley::entry {

/// Counts the memory of the batches that a process holds, whoever refers to them, so that no more
/// are accepted than fit. Thread-safe.
class BatchMemory
{
public:
    /// Must be called before the object is shared between threads.
    void setLimit(std::size_t bytes) { this->limit = bytes; }

    [[nodiscard]] std::size_t heldBytes() const { return *this->held; }

    /// \return whether a further batch fits. A batch alone always does, however large it is.
    [[nodiscard]] bool hasRoomFor(const core::BatchSpec &spec) const
    {
        const std::size_t bytes = this->heldBytes();
        return bytes == 0 || bytes + core::memoryOf(spec) <= this->limit;
    }

    /// \return a pointer to the same batch, which is counted until the last copy of the pointer is
    /// gone.
    [[nodiscard]] std::shared_ptr<const core::BatchSpec>
    hold(std::shared_ptr<const core::BatchSpec> batch) const
    {
        const std::size_t bytes = core::memoryOf(*batch);
        *this->held += bytes;
        const core::BatchSpec *const spec = batch.get();
        return {spec, [counter = this->held, bytes,
                       batch = std::move(batch)](const core::BatchSpec *) mutable {
                    batch.reset();
                    *counter -= bytes;
                }};
    }

private:
    std::size_t limit = 0;
    std::shared_ptr<std::atomic<std::size_t>> held = std::make_shared<std::atomic<std::size_t>>(0);
};

} // namespace geraniumpulley::entry
