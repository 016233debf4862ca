#pragma once

#include <geraniumpulley/core/batch/batch_duty.hpp>
#include <geraniumpulley/net/http_server.hpp>

#include <optional>
#include <string>

/// The requests of trainers for the progress of a batch, on a path of this product.
namespace geraniumpulley::entry {

/// \return the batch whose progress is requested, if the request has the path for that. A route of
/// the operators with the same path goes first.
std::optional<core::BatchId> decodeProgressRequest(const net::ServerRequest &request);

/// \param progress the encoded progress of the batch, if it was found.
net::ServerResponse encodeProgressAnswer(core::ReplyToken token, core::ReadVerdict verdict,
                                         std::string progress);

} // namespace geraniumpulley::entry
