#ifndef SHALLOTLUG_PROTOCOL_LINKS_H_
#define SHALLOTLUG_PROTOCOL_LINKS_H_

#include <string>

#include "shallotlug/base/ids.h"
#include "shallotlug/protocol/messages.h"

/// Events of links between processes, exchanged between a role's logic and its
/// shell.
namespace shallotlug {

/// @brief What the other end of a dialled link is expected to be.
enum class PeerRole { kEntry, kAgent };

/// @brief A link passed its handshake. For an accepted link `dialled` is empty.
struct LinkUp {
  LinkId link{};
  PeerRole peer = PeerRole::kEntry;
  std::string dialled;  ///< The address given to Dial.
};

/// @brief A link broke, or a dial failed (then `link` is 0).
struct LinkDown {
  LinkId link{};
  std::string dialled;
};

struct Received {
  LinkId link{};
  Message message;
};

struct Send {
  LinkId link{};
  Message message;
};

/// @brief Asks the shell to open a link; answered by LinkUp or LinkDown.
struct Dial {
  std::string address;
  PeerRole peer = PeerRole::kEntry;
};

struct CloseLink {
  LinkId link{};
  std::string reason;
};

}  // namespace shallotlug

#endif  // SHALLOTLUG_PROTOCOL_LINKS_H_
