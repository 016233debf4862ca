#pragma once

#include <system_error>

/// Error codes of the codec package.
namespace geraniumpulley::codec {

enum class Errc {
    NotJson = 1, ///< The text is not valid JSON.
    SchemaMismatch, ///< A field is missing, unknown, of the wrong type or out of range.
    Truncated, ///< The message ends before its declared length.
};

const std::error_category &errorCategory() noexcept;

std::error_code make_error_code(Errc error) noexcept; // NOLINT(readability-identifier-naming): ADL

} // namespace geraniumpulley::codec

template<>
struct std::is_error_code_enum<geraniumpulley::codec::Errc> : std::true_type
{
};
