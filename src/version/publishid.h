#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobjunction
{

/**
 * Id of one publication. Contains the version on which the publication is based, so that a resumed publication writes under the same
 * condition as the first attempt and never overwrites a configuration that was published in between.
 */
struct PublishId {
    uint64_t baseVersion = 0; /**< Version in force when the publication started; 0 if there was none. */
    std::string token; /**< Random lower-case hexadecimal digits. */

    /** @return `{base version}-{token}` */
    std::string toString() const;

    /** @return the id, or empty if @p text does not have the format of toString() */
    static std::optional<PublishId> fromString(std::string_view text);

    /** @return a token of 128 random bits */
    static std::string randomToken();
};

} // namespace carobjunction
