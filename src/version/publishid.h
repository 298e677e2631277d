#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobjunction
{

/**
 * Identity of one publishing. It contains the version that the publishing builds on, so that a resumed publishing
 * has the same condition as the first attempt and never overwrites a configuration that was published in between.
 */
struct PublishId {
    uint64_t baseVersion = 0; /**< Version in force when the publishing began; 0 for none. */
    std::string token; /**< Random lower-case hexadecimal digits. */

    /** @return `{base version}-{token}` */
    std::string toString() const;

    /** @return the id, or empty if @p text does not have the form of toString() */
    static std::optional<PublishId> fromString(std::string_view text);

    /** @return a token of 128 random bits */
    static std::string randomToken();
};

} // namespace carobjunction
