#ifndef BALSAMRACK_DECISIONS_SLOTSHARES_H
#define BALSAMRACK_DECISIONS_SLOTSHARES_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace balsamrack {

/// Which part of each server's slots one daemon counts as its own.
///
/// Load that it answers: nine daemons that each see a ninth of the flows before
/// servers with two slots each. Choosing the least loaded by its own counts, a
/// daemon finds nearly all servers at zero and chooses blindly; at half load
/// every third flow then waits behind two others while slots stand idle
/// elsewhere. With shares a daemon's own counts are nearly all there is to know
/// about its servers, and nothing has to be said between daemons.
///
/// How: all slots of a service lie on a line, ordered by failure domain, and so
/// do the daemons; each daemon owns an equal stretch. Both orders begin alike,
/// so a daemon's stretch lies mostly in its own failure domain. Views that
/// differ for a moment only make shares overlap: a share is a preference.
///
/// \p slots holds the slots of the servers in order; \p daemons the number of
/// daemons and \p self the place of this one among them. Returns the own slots
/// of each server. Preconditions: self < daemons. Pure, thread-safe.
std::vector<double> slotShares(const std::vector<uint32_t> &slots,
                               size_t daemons, size_t self);

} // namespace balsamrack

#endif // BALSAMRACK_DECISIONS_SLOTSHARES_H
