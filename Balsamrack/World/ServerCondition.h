#ifndef BALSAMRACK_WORLD_SERVERCONDITION_H
#define BALSAMRACK_WORLD_SERVERCONDITION_H

#include <cstdint>

#include "Balsamrack/Core/Ids.h"

namespace balsamrack {

/// Last state of a backend server as observed by its owner. Passed on to the
/// next owner.
struct ServerCondition {
  ServerId Server;      ///< Id of the server.
  InstanceId Instance;  ///< Id of the running process, new after each restart.
  bool Warm = false;    ///< True once it has ramped up to all of its slots.
  uint64_t Version = 0; ///< Increases with each change; composed of the owner's
                        ///< incarnation and a counter.
};

/// The condition of an owned server changed and should be sent to its possible
/// next owners.
struct ConditionLearned {
  ServerCondition Condition; ///< Latest condition.
};

} // namespace balsamrack

#endif // BALSAMRACK_WORLD_SERVERCONDITION_H
