#pragma once

#include <geraniumpulley/core/limits/rate_limiter.hpp>
#include <geraniumpulley/core/result.hpp>

#include <string>

/// Encodings of the messages between nodes that request and grant permits (MessagePack).
namespace geraniumpulley::codec {

std::string encodePermits(const core::PermitRequest &request);
core::Result<core::PermitRequest> decodePermitRequest(const std::string &bytes);

std::string encodePermits(const core::PermitGrant &grant);
/// Errors: `Errc::SchemaMismatch` also for a negative interval, retry or expected delay.
core::Result<core::PermitGrant> decodePermitGrant(const std::string &bytes);

} // namespace geraniumpulley::codec
