#ifndef BALSAMRACK_CONFIGURATION_OBJECTSTATE_H
#define BALSAMRACK_CONFIGURATION_OBJECTSTATE_H

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Balsamrack/Core/Ids.h"
#include "Balsamrack/World/World.h"

namespace balsamrack {

/// Kinds of object that a ticket may touch.
enum class ObjectKind { Domain, Service, Server };

/// Name of one configured object.
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

/// The whole state of one object under one ticket. Deletion is a state too, so
/// that it can't be undone by old updates.
struct ObjectState {
  ObjectKey Key;       ///< Which object.
  TicketNumber Ticket; ///< The ticket that gave it this state.
  std::variant<std::monostate, FailureDomain, Service, BackendServer>
      State; ///< monostate: deleted.

  /// True when the ticket deleted the object. Thread-safe.
  bool deleted() const { return std::holds_alternative<std::monostate>(State); }
};

/// A numbered change ticket: the whole new state of each object that it
/// touches.
struct Ticket {
  TicketNumber Number;              ///< Its number; higher is later.
  std::vector<ObjectState> Objects; ///< Each with Ticket == Number.
};

} // namespace balsamrack

#endif // BALSAMRACK_CONFIGURATION_OBJECTSTATE_H
