#pragma once

#include "connection/asio.h"
#include "connection/bodybudget.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <memory>

namespace carobjunction
{

/** Error of a body for which the process has no room. */
inline ErrorCode bodyBudgetExhausted()
{
    return asio::error::no_buffer_space;
}

/** Takes room of a budget for one body while it is read. */
class BodyRoom
{
public:
    /** Share of its size that a body of unknown length takes while it grows: it is copied into a block of twice the size. */
    static constexpr uint64_t GrowthFactor = 2;

    /**
     * @param budget  null if the body isn't counted
     * @param copies  times that the body is held once it is complete
     */
    BodyRoom(const std::shared_ptr<BodyBudget> &budget, uint64_t copies)
        : m_reservation(budget ? std::make_shared<BodyBudget::Reservation>(budget) : nullptr), m_copies(copies)
    {
    }

    /** @return whether there is room for a body that has @p bytes so far */
    bool grow(uint64_t bytes, bool isLengthKnown)
    {
        return !m_reservation || m_reservation->resize(bytes * (isLengthKnown ? m_copies : std::max(m_copies, GrowthFactor)));
    }

    /** @return whether there is room at this moment for a body that announces @p bytes; takes none */
    bool hasRoom(uint64_t bytes)
    {
        const bool fits = grow(bytes, true);
        if (m_reservation) {
            m_reservation->resize(0);
        }
        return fits;
    }

    /** Ends the reading. @return the room of the complete body, for HttpMessage::room, which gives it back */
    std::shared_ptr<void> complete(uint64_t bytes)
    {
        if (m_reservation) {
            m_reservation->resize(bytes * m_copies);
        }
        return bytes == 0 ? nullptr : std::move(m_reservation);
    }

private:
    std::shared_ptr<BodyBudget::Reservation> m_reservation;
    uint64_t m_copies;
};

/** Reads the body of a message whose head was read, in pieces for which @p room has to be found. */
template<bool isRequest>
Task<ErrorCode> readBodyInto(Tcp::socket &socket, beast::flat_buffer &buffer, http::parser<isRequest, http::string_body> &parser, BodyRoom &room)
{
    ErrorCode error;
    parser.eager(true);
    while (!parser.is_done()) {
        co_await http::async_read_some(socket, buffer, parser, into(error));
        if (error) {
            co_return error;
        }
        if (!room.grow(parser.get().body().size(), static_cast<bool>(parser.content_length()))) {
            co_return bodyBudgetExhausted();
        }
    }
    co_return error;
}

} // namespace carobjunction
