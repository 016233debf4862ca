#pragma once

#include <geraniumpulley/core/configuration/configuration.hpp>

#include <cpprest/json.h>

#include <vector>

namespace geraniumpulley::codec::detail {

/// \return the changes as a JSON array such as
/// `[{"part":"service","name":"orders","change":"added"}]`.
web::json::value encodeChanges(const std::vector<core::ConfigurationChange> &changes);

} // namespace geraniumpulley::codec::detail
