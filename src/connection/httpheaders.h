#pragma once

#include <string_view>

namespace carobjunction
{

/** Names of the header fields exchanged with callers and backend servers. */
namespace headernames
{
inline constexpr char Service[] = "Carob-Service";
inline constexpr char DeadlineMs[] = "Carob-Deadline-Ms";
inline constexpr char IdempotencyKey[] = "Idempotency-Key";
inline constexpr char Caller[] = "Carob-Caller";
inline constexpr char Hops[] = "Carob-Hops";
inline constexpr char RetriesLeft[] = "Carob-Retries-Left";
inline constexpr char OutcomeField[] = "Carob-Outcome";
inline constexpr char ReasonField[] = "Carob-Reason";
inline constexpr char RequestId[] = "Carob-Request-Id";
inline constexpr char Target[] = "Carob-Target";
inline constexpr char ConfigVersion[] = "Carob-Config-Version";
inline constexpr char ContentType[] = "Content-Type";
} // namespace headername

/**
 * @param name  header field name
 * @return whether the field applies to one connection only or is a control field of the load balancer, and must not be forwarded
 */
bool isHopByHopHeader(std::string_view name);

} // namespace carobjunction
