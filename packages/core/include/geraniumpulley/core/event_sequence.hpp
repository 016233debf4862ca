#pragma once

#include <cstdint>

/// The order of the numbered events of a stream, for streams of clients and texts of batches alike.
namespace geraniumpulley::core {

/// Where a received event stands behind the events received so far.
enum class EventPlace {
    Next, ///< It follows the last event.
    Repeated, ///< It was received before.
    AfterGap, ///< At least one event before it is missing, or it carries no number.
};

/// \param lastEventId number of the last event; 0 if there is none yet.
/// \param eventId number of the received event, counted from 1; 0 if it carries none.
constexpr EventPlace placeOf(std::uint64_t eventId, std::uint64_t lastEventId)
{
    if (eventId == lastEventId + 1)
        return EventPlace::Next;
    return eventId == 0 || eventId > lastEventId ? EventPlace::AfterGap : EventPlace::Repeated;
}

} // namespace geraniumpulley::core
