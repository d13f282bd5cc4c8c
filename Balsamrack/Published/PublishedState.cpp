#include "Balsamrack/Published/PublishedState.h"

namespace balsamrack {

const char *sectionName(PublishedSection section) {
  return section == PublishedSection::Operators ? "operators" : "servers";
}

} // namespace balsamrack
