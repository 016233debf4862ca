#pragma once

#include <boost/outcome/result.hpp>

#include <system_error>

namespace geraniumpulley::core {

/// A value, or an error code of the layer that failed. `std::expected` is not used because the
/// project's linter cannot parse it.
template<typename T>
using Result = boost::outcome_v2::result<T, std::error_code>;

} // namespace geraniumpulley::core
