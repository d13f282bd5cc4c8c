#ifndef BALSAMRACK_CONFIGURATION_OBJECTSTATE_H
#define BALSAMRACK_CONFIGURATION_OBJECTSTATE_H

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/World/World.h"

namespace balsamrack {

/// Kinds of configured objects.
enum class ObjectKind { Domain, Service, Server };

/// Identifies one configured object.
struct ObjectKey {
  ObjectKind Kind = ObjectKind::Domain; ///< Kind of the object.
  std::string Name;                     ///< Its id.

  friend bool operator==(const ObjectKey &a, const ObjectKey &b) {
    return a.Kind == b.Kind && a.Name == b.Name;
  }
  friend bool operator<(const ObjectKey &a, const ObjectKey &b) {
    return a.Kind != b.Kind ? a.Kind < b.Kind : a.Name < b.Name;
  }
  template <class H> friend H AbslHashValue(H h, const ObjectKey &k) {
    return H::combine(std::move(h), k.Kind, k.Name);
  }
};

/// The complete state of one object under one ticket. Deletion is a state too,
/// so that outdated updates can not undo it.
struct ObjectState {
  ObjectKey Key;       ///< The object.
  TicketNumber Ticket; ///< The ticket that set this state.
  std::variant<std::monostate, FailureDomain, Service, BackendServer>
      State; ///< monostate: deleted.

  /// True if the ticket deleted the object. Thread-safe.
  bool deleted() const { return std::holds_alternative<std::monostate>(State); }
};

/// A numbered change ticket: the complete new state of each object that it
/// affects.
struct Ticket {
  TicketNumber Number;              ///< Ticket number; higher is later.
  std::vector<ObjectState> Objects; ///< Each with Ticket == Number.
};

} // namespace balsamrack

#endif // BALSAMRACK_CONFIGURATION_OBJECTSTATE_H
