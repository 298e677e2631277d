#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace carobjunction
{

/**
 * Bound over the bodies that a process holds at a time, in bytes. Used on one event loop; not thread-safe. Held by shared pointers.
 *
 * One body may have MaxBodyToFreeRatio times what it leaves free, so that a large body passes while little else is held, and leaves room for
 * others in any case.
 */
class BodyBudget : public std::enable_shared_from_this<BodyBudget>
{
public:
    /** Largest size of one body, as a multiple of the room that it leaves free: a body gets four fifths of an empty budget. */
    static constexpr uint64_t MaxBodyToFreeRatio = 4;

    /** Room of one body. Given back at the end of its life. */
    class Reservation
    {
    public:
        explicit Reservation(std::shared_ptr<BodyBudget> budget) : m_budget(std::move(budget))
        {
        }
        ~Reservation();
        Reservation(Reservation &&) = default;
        Reservation &operator=(Reservation &&) = delete;

        /** Takes or gives back room, up to @p bytes in all. @return false if there is no room; the reservation is then as before */
        bool resize(uint64_t bytes);

        uint64_t bytes() const
        {
            return m_bytes;
        }

    private:
        std::shared_ptr<BodyBudget> m_budget;
        uint64_t m_bytes = 0;
    };

    /** @param onExhausted  called each time that a body finds no room */
    explicit BodyBudget(uint64_t limitBytes, std::function<void()> onExhausted = {}) : m_limitBytes(limitBytes), m_onExhausted(std::move(onExhausted))
    {
    }

    /** @return the room, or empty if there is none */
    std::optional<Reservation> reserve(uint64_t bytes);

    /** @return bytes that are reserved */
    uint64_t held() const
    {
        return m_reservedBytes;
    }

private:
    uint64_t m_limitBytes;
    std::function<void()> m_onExhausted;
    uint64_t m_reservedBytes = 0;
};

} // namespace carobjunction
