#pragma once

#include <cstdint>

namespace geraniumpulley::core {

/// The version of a row in the table service; 0 means that the row does not exist.
enum class RowVersion : std::uint64_t {};

} // namespace geraniumpulley::core
