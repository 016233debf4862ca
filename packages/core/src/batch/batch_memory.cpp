#include <geraniumpulley/core/batch/batch.hpp>

#include <geraniumpulley/core/batch/batch_state.hpp>

namespace geraniumpulley::core {
namespace {

std::size_t memoryOf(const BatchItem &item)
{
    std::size_t bytes = sizeof(BatchItem) + sizeof(ItemState) + item.id.value.size()
                        + item.path.size() + item.body.size() + item.group.size();
    for (const HttpHeader &header : item.headers)
        bytes += sizeof(HttpHeader) + header.name.size() + header.value.size();
    if (item.scoring)
        bytes += item.scoring->id.size() + item.scoring->host.size() + item.scoring->path.size()
                 + item.scoring->body.size();
    return bytes;
}

} // namespace

std::size_t memoryOf(const BatchSpec &spec)
{
    std::size_t bytes = sizeof(BatchSpec) + spec.encoded.size();
    for (const BatchItem &item : spec.items)
        bytes += memoryOf(item);
    return bytes;
}

} // namespace geraniumpulley::core
