#pragma once

#include <carobjunction/process/enumnames.h>

namespace carobjunction
{

/** Whether a request ran on a backend server, as far as it can be determined. */
enum class Outcome {
    Ran, /**< A backend server ran the request and returned a complete answer. */
    NotRun, /**< It is proven that no backend server ran the request. */
    Unknown, /**< The request was dispatched but no complete answer was received. */
};

template<>
struct EnumNames<Outcome> {
    static constexpr std::pair<Outcome, std::string_view> Table[] = {
        { Outcome::Ran, "ran" },
        { Outcome::NotRun, "not-run" },
        { Outcome::Unknown, "unknown" },
    };
};

} // namespace carobjunction
