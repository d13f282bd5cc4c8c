#ifndef BALSAMRACK_FLOWS_RETRYBUDGET_H
#define BALSAMRACK_FLOWS_RETRYBUDGET_H

namespace balsamrack {

/// How many further tries a service's packets may have.
///
/// Load that it answers: overload of a whole service, when every owner refuses.
/// Without it each packet is offered to several owners, so the control
/// work grows by that factor just when there is none to spare. Each packet
/// earns a fraction of a try, so tries are a bounded share of the packets and
/// shrink with them; a small saved-up burst serves the common case of one full
/// server. Not thread-safe.
class RetryBudget {
public:
  /// Each packet earns \p ratio tries; at most \p burst are saved up, with
  /// which it starts.
  RetryBudget(double ratio, double burst)
      : Ratio(ratio), Burst(burst), Available(burst) {}

  /// Notes a packet.
  void addPacket() {
    Available = Available + Ratio < Burst ? Available + Ratio : Burst;
  }
  /// Takes one try; false when there is none.
  bool tryConsume() {
    if (Available < 1)
      return false;
    Available -= 1;
    return true;
  }

private:
  double Ratio;     ///< Tries earned by a packet.
  double Burst;     ///< Most that may be saved up.
  double Available; ///< Tries left.
};

} // namespace balsamrack

#endif // BALSAMRACK_FLOWS_RETRYBUDGET_H
