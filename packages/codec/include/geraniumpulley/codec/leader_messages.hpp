#pragma once

#include <geraniumpulley/core/leader/service_demand.hpp>
#include <geraniumpulley/core/leader/usage_window.hpp>
#include <geraniumpulley/core/result.hpp>

#include <string>

/// Encodings of the leader's rows in the store, and of the messages to the leader (MessagePack).
namespace geraniumpulley::codec {

std::string encodeUsageCounts(const core::UsageCounts &counts);
core::Result<core::UsageCounts> decodeUsageCounts(const std::string &bytes);

std::string encodeDemandReport(const core::DemandReport &report);
core::Result<core::DemandReport> decodeDemandReport(const std::string &bytes);

} // namespace geraniumpulley::codec
