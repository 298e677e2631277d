#pragma once

#include <carobjunction/process/enumnames.h>

namespace carobjunction
{

/** Priority of a queued request. Requests with lower values are served first. */
enum class Priority {
    High = 0,
    Normal = 1,
    Low = 2, /**< Served after all others; for lookups that can wait. */
};

template<>
struct EnumNames<Priority> {
    static constexpr std::pair<Priority, std::string_view> Table[] = {
        { Priority::High, "high" },
        { Priority::Normal, "normal" },
        { Priority::Low, "low" },
    };
};

} // namespace carobjunction
