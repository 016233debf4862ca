#include <geraniumpulley/codec/permit_messages.hpp>

#include "message_pack.hpp"

#include <geraniumpulley/codec/error.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace geraniumpulley::codec {
namespace {

using PermitRequestWire = std::tuple<std::string, std::string, double, std::uint32_t, std::int64_t>;
using PermitGrantWire =
        std::tuple<std::uint32_t, std::int64_t, std::int64_t, std::int64_t, std::int64_t>;

} // namespace

std::string encodePermits(const core::PermitRequest &request)
{
    return detail::pack(PermitRequestWire{request.target.value, request.requester,
                                          request.limit.perSecond, request.count,
                                          request.maxWait.count()});
}

core::Result<core::PermitRequest> decodePermitRequest(const std::string &bytes)
{
    auto wire = detail::unpack<PermitRequestWire>(bytes);
    if (!wire)
        return wire.error();
    auto &[target, requester, perSecond, count, maxWait] = wire.value();
    return core::PermitRequest{
            {std::move(target)}, std::move(requester), {perSecond}, count, core::Duration(maxWait)};
}

std::string encodePermits(const core::PermitGrant &grant)
{
    return detail::pack(PermitGrantWire{grant.count, grant.firstDelay.count(),
                                        grant.interval.count(), grant.retryDelay.count(),
                                        grant.expectedDelay.count()});
}

core::Result<core::PermitGrant> decodePermitGrant(const std::string &bytes)
{
    const auto wire = detail::unpack<PermitGrantWire>(bytes);
    if (!wire)
        return wire.error();
    const auto &[count, firstDelay, interval, retryDelay, expectedDelay] = wire.value();
    if (std::min({interval, retryDelay, expectedDelay}) < 0)
        return make_error_code(Errc::SchemaMismatch);
    return core::PermitGrant{count, core::Duration(firstDelay), core::Duration(interval),
                             core::Duration(retryDelay), core::Duration(expectedDelay)};
}

} // namespace geraniumpulley::codec
