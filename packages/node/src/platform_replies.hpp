#pragma once

#include <geraniumpulley/codec/platform_messages.hpp>
#include <geraniumpulley/net/platform_client.hpp>
#include <geraniumpulley/runtime/log.hpp>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace geraniumpulley::node {

/// \return whether the platform answered that the call succeeded.
inline bool isOk(const net::PlatformReply &reply)
{
    constexpr std::uint32_t statusOk = 200;
    return reply.answered && reply.status == statusOk;
}

/// Decodes the rows of a table reply. An answer that cannot be decoded is logged here; a failed
/// call is not, because the platform client reports an outage once as a whole.
/// \param table the name of what was read, for the log.
/// \return the rows, or no value if the call failed or its answer cannot be decoded.
inline std::optional<std::vector<codec::TableRow>>
decodeRowsReply(runtime::Logger &logger, const char *table, const net::PlatformReply &reply)
{
    if (!isOk(reply))
        return std::nullopt;
    auto rows = codec::decodeRows(reply.body);
    if (rows)
        return std::move(rows.value());
    logger.write("rows_malformed", runtime::field("read", table));
    return std::nullopt;
}

/// \return whether the table service rejected a transaction because one of its conditions does not
/// hold.
inline bool isConflict(const net::PlatformReply &reply)
{
    constexpr std::uint32_t statusConflict = 409;
    return reply.answered && reply.status == statusConflict;
}

} // namespace geraniumpulley::node
