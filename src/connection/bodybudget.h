#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace carobjunction
{

/**
 * Limits the total size of the message bodies that a process holds in memory, in bytes. Used on one event loop; not thread-safe. Must be
 * owned by a std::shared_ptr.
 *
 * A body may use at most MaxBodyToFreeRatio times the bytes that remain free after its reservation. A large body is therefore accepted while
 * the budget is mostly free, and some bytes always remain for other bodies.
 */
class BodyBudget : public std::enable_shared_from_this<BodyBudget>
{
public:
    /** Maximum size of one body as a multiple of the bytes that remain free: one body gets up to four fifths of an empty budget. */
    static constexpr uint64_t MaxBodyToFreeRatio = 4;

    /** Reservation for one body. Released on destruction. */
    class Reservation
    {
    public:
        explicit Reservation(std::shared_ptr<BodyBudget> budget) : m_budget(std::move(budget))
        {
        }
        ~Reservation();
        Reservation(Reservation &&) = default;
        Reservation &operator=(Reservation &&) = delete;

        /** Changes the size of the reservation to @p bytes. @return false if the budget is exhausted; the reservation is then unchanged */
        bool resize(uint64_t bytes);

        uint64_t bytes() const
        {
            return m_bytes;
        }

    private:
        std::shared_ptr<BodyBudget> m_budget;
        uint64_t m_bytes = 0;
    };

    /**
     * @param limitBytes  total size of all reservations
     * @param onExhausted  called each time a reservation is refused; may be empty
     */
    explicit BodyBudget(uint64_t limitBytes, std::function<void()> onExhausted = {}) : m_limitBytes(limitBytes), m_onExhausted(std::move(onExhausted))
    {
    }

    /** @return a reservation of @p bytes, or empty if the budget is exhausted */
    std::optional<Reservation> reserve(uint64_t bytes);

    /** @return total size of the current reservations, in bytes */
    uint64_t reservedBytes() const
    {
        return m_reservedBytes;
    }

private:
    uint64_t m_limitBytes;
    std::function<void()> m_onExhausted;
    uint64_t m_reservedBytes = 0;
};

} // namespace carobjunction
