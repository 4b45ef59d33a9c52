#ifndef SHALLOTLUG_JOBLOG_REGISTRATION_H_
#define SHALLOTLUG_JOBLOG_REGISTRATION_H_

#include <cstdint>

#include "shallotlug/base/clock.h"
#include "shallotlug/workload/ledger.h"

namespace shallotlug::joblog {

/// @brief A registration that was stated longer ago is removed by any entry.
inline constexpr Millis kRegistrationLifetime{600'000};
/// @brief Longest time between two checks of the own registration.
inline constexpr Millis kLongestRegistrationCheck{30'000};
/// @brief Shortest and longest time without a call of a scheduler after which
/// an agent appends its address again.
inline constexpr Millis kMinAgentRegistration{6'000};
inline constexpr Millis kMaxAgentRegistration{96'000};

/// @brief Whether an entry should append its address: the log has none or
/// another one, or it was stated a fifth of kRegistrationLifetime before or
/// after `own.stated_at`.
/// @param own The address as of now.
bool RegistrationIsDue(const workload::Ledger& ledger,
                       const workload::EntryAddress& own);

/// @brief Time until the next check: between half of kLongestRegistrationCheck
/// and the whole, so that entries that start together append at different
/// times.
/// @param random Any 64 random bits.
Millis RegistrationCheckDelay(std::uint64_t random);

/// @brief Time without a call of a scheduler after which an agent appends its
/// address again: kMinAgentRegistration, doubled for each repetition, and up to
/// as much again at random, at most kMaxAgentRegistration. All agents lose a
/// scheduler at the same moment.
/// @param repetitions Registrations since the last call of a scheduler.
/// @param random Any 64 random bits.
Millis AgentRegistrationDelay(int repetitions, std::uint64_t random);

}  // namespace shallotlug::joblog

#endif  // SHALLOTLUG_JOBLOG_REGISTRATION_H_
