#pragma once

#include "connection/asio.h"
#include "connection/bodybudget.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <memory>

namespace carobjunction
{

/** @return the error for a body that exceeds what is left of the budget */
inline ErrorCode bodyBudgetExhausted()
{
    return asio::error::no_buffer_space;
}

/** Reserves bytes of a BodyBudget for one body while it is received. */
class IncomingBodyReservation
{
public:
    /** Memory that a body of unknown length may occupy while it is received, as a multiple of its size: its buffer doubles when it is full. */
    static constexpr uint64_t GrowthFactor = 2;

    /**
     * @param budget  null if the body is not counted
     * @param copies  number of copies of the complete body in memory
     */
    IncomingBodyReservation(const std::shared_ptr<BodyBudget> &budget, uint64_t copies)
        : m_reservation(budget ? std::make_shared<BodyBudget::Reservation>(budget) : nullptr), m_copies(copies)
    {
    }

    /** Reserves memory for a body of which @p bytes have been received. @return false if the budget is exhausted */
    bool growTo(uint64_t bytes, bool isLengthKnown)
    {
        return !m_reservation || m_reservation->resize(bytes * (isLengthKnown ? m_copies : std::max(m_copies, GrowthFactor)));
    }

    /** @return whether the budget currently allows a body of @p bytes; does not reserve them */
    bool canReserve(uint64_t bytes)
    {
        const bool fits = growTo(bytes, true);
        if (m_reservation) {
            m_reservation->resize(0);
        }
        return fits;
    }

    /** Sets the reservation to the size of the complete body. @return the reservation, for the HttpMessage that holds the body; null if it is empty */
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

/** Receives the body of a request whose header has been parsed, and reserves memory for each part before it reads the next one. */
inline Task<ErrorCode>
readBodyInto(Tcp::socket &socket, beast::flat_buffer &buffer, http::request_parser<http::string_body> &parser, IncomingBodyReservation &bodyReservation)
{
    ErrorCode error;
    parser.eager(true);
    while (!parser.is_done()) {
        co_await http::async_read_some(socket, buffer, parser, redirectError(error));
        if (error) {
            co_return error;
        }
        if (!bodyReservation.growTo(parser.get().body().size(), static_cast<bool>(parser.content_length()))) {
            co_return bodyBudgetExhausted();
        }
    }
    co_return error;
}

} // namespace carobjunction
