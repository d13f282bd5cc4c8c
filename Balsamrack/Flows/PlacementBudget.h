#ifndef BALSAMRACK_FLOWS_PLACEMENTBUDGET_H
#define BALSAMRACK_FLOWS_PLACEMENTBUDGET_H

namespace balsamrack {

/// How many further tries a service's packets may have.
///
/// Load that it answers: overload of a whole service, when every owner refuses.
/// Without it each packet is offered to several owners, so the control
/// work grows by that factor just when there is none to spare. Each packet
/// earns a fraction of a try, so tries are a bounded share of the packets and
/// shrink with them; a small saved-up burst serves the common case of one full
/// server. Not thread-safe.
class PlacementBudget {
public:
  /// Each packet earns \p ratio tries; at most \p burst are saved up, with
  /// which it starts.
  PlacementBudget(double ratio, double burst)
      : Ratio(ratio), Burst(burst), Saved(burst) {}

  /// Notes a packet.
  void earn() { Saved = Saved + Ratio < Burst ? Saved + Ratio : Burst; }
  /// Takes one try; false when there is none.
  bool take() {
    if (Saved < 1)
      return false;
    Saved -= 1;
    return true;
  }

private:
  double Ratio; ///< Tries earned by a packet.
  double Burst; ///< Most that may be saved up.
  double Saved; ///< Tries left.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_PLACEMENTBUDGET_H
