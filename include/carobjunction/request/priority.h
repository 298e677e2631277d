#pragma once

#include <carobjunction/process/enumnames.h>

namespace carobjunction
{

/** Order in which queued requests get slots. Lower values go first. */
enum class Priority {
    High = 0,
    Normal = 1,
    Low = 2, /**< Gives way to everything else; for lookups that may wait. */
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
