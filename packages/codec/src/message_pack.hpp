#pragma once

#include <geraniumpulley/codec/error.hpp>
#include <geraniumpulley/core/result.hpp>

#include <msgpack.hpp>

#include <string>
#include <tuple>

/// Conversion between tuples and MessagePack arrays.
namespace geraniumpulley::codec::detail {

template<typename Wire>
std::string pack(const Wire &wire)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return {buffer.data(), buffer.size()};
}

/// \return the tuple, `Errc::Truncated` when the input ends too early, or `Errc::SchemaMismatch`
/// when it is not an array of matching length and element types.
template<typename Wire>
core::Result<Wire> unpack(const std::string &bytes)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        if (handle.get().type != msgpack::type::ARRAY
            || handle.get().via.array.size != std::tuple_size_v<Wire>)
            return make_error_code(Errc::SchemaMismatch);
        return handle.get().as<Wire>();
    } catch (const msgpack::insufficient_bytes &) {
        return make_error_code(Errc::Truncated);
    } catch (const std::exception &) {
        return make_error_code(Errc::SchemaMismatch);
    }
}

} // namespace geraniumpulley::codec::detail
