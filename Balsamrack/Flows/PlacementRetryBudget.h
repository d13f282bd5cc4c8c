#ifndef BALSAMRACK_FLOWS_PLACEMENTRETRYBUDGET_H
#define BALSAMRACK_FLOWS_PLACEMENTRETRYBUDGET_H

namespace balsamrack {

/// Retry budget of a service: a token bucket that packets fill and retries
/// drain.
///
/// It limits retries while a whole service is overloaded and every owner
/// refuses. Without it, each packet would be offered to several owners, which
/// multiplies the control work when there is no spare capacity. Each packet
/// adds a fraction of a retry, so retries stay a bounded share of the packets;
/// a small burst covers the common case of a single full server. Not
/// thread-safe.
class PlacementRetryBudget {
public:
  /// Each packet adds \p ratio retries, up to \p burst, which is also the
  /// initial budget.
  PlacementRetryBudget(double ratio, double burst)
      : Ratio(ratio), Burst(burst), Available(burst) {}

  /// Adds the share of one packet.
  void addPacket() {
    Available = Available + Ratio < Burst ? Available + Ratio : Burst;
  }
  /// Consumes one retry; false if none is available.
  bool tryConsume() {
    if (Available < 1)
      return false;
    Available -= 1;
    return true;
  }

private:
  double Ratio;     ///< Retries added per packet.
  double Burst;     ///< Upper bound of Available.
  double Available; ///< Retries available now.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_PLACEMENTRETRYBUDGET_H
