#pragma once

#include <string>
#include <string_view>

namespace carobjunction
{

/** @return the SHA-256 of @p bytes in lower-case hexadecimal */
std::string sha256Hex(std::string_view bytes);

} // namespace carobjunction
