#ifndef SHALLOTLUG_AGENT_SRC_LINKS_H_
#define SHALLOTLUG_AGENT_SRC_LINKS_H_

#include <string>
#include <vector>

#include "state.h"

/// Links to entries and other agents: dialling, silence, duplicates.
namespace shallotlug::agent {

void AddSeeds(State& state);

void OnLinkUp(State& state, const LinkUp& event, TimePoint now, Outbox& out);
void OnLinkDown(State& state, const LinkDown& event, Outbox& out);

/// @brief Records that a message arrived. False when the link is unknown, for
/// example because it was closed.
bool RecordReceived(State& state, LinkId link, TimePoint now);

/// @brief Handles the identity of an entry; closes the link when another one
/// to the same entry works.
void OnEntryIdentity(State& state,
                     LinkId link,
                     const EntryRef& entry,
                     TimePoint now,
                     Outbox& out);

void AddEntryTargets(State& state,
                     const std::vector<std::string>& addresses,
                     TimePoint now);

/// @brief Names of the entries that have introduced themselves, sorted.
std::vector<EntryName> LinkedEntries(const State& state);

/// @brief Closes silent links.
void CloseSilentLinks(State& state, TimePoint now, Outbox& out);

/// @brief Dials what is due.
void DialDueTargets(State& state, TimePoint now, Outbox& out);

/// @brief Sends a message on a link that is still up; otherwise drops it.
void SendOn(State& state, LinkId link, Message message, Outbox& out);

/// @brief Sends a message on every link on which an entry has introduced
/// itself.
void SendToEntries(State& state, const Message& message, Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_LINKS_H_
