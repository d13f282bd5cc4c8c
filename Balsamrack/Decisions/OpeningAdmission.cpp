#include "Balsamrack/Decisions/OpeningAdmission.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "Balsamrack/Decisions/LateOpenings.h"

namespace balsamrack {

namespace {

constexpr double MicrosPerSecond = 1e6;
/// Bound of an expected wait, for when more urgent work uses all capacity.
constexpr Duration MaxExpectedWait{60'000'000};
/// Upper bound of a load sample: servers queue four requests for each slot, and
/// a small share fluctuates strongly.
constexpr double MaxLoadSample = 5;
/// Waiting openings are reviewed at most once in this time, unless one is due.
constexpr Duration ReviewInterval{5'000};
/// Bound of the lead of a caller's virtual arrival, so that a caller who was
/// alone is not set back for long when others arrive.
constexpr Duration MaxCallerLead{1'000'000};
/// Openings of a priority count from this rate a second.
constexpr double MinOtherArrivals = 0.5;
/// Bound of the time for which a fractional place stays taken.
constexpr Duration MaxPartInterval{1'000'000};

double decay(Duration age, Duration smoothing) {
  return std::exp(-static_cast<double>(age.count()) /
                  static_cast<double>(smoothing.count()));
}

Duration scaled(Duration d, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(d.count()) * factor));
}

} // namespace

const char *openingVerdictName(OpeningVerdict verdict) {
  static const char *const names[] = {"place", "wait", "refuse", "drop"};
  return names[static_cast<size_t>(verdict)];
}

void OpeningAdmission::Rate::add(TimePoint now,
                                 const OpeningAdmissionSettings &settings) {
  Events = Events * decay(now - At, settings.LoadSmoothing) + 1;
  At = now;
}

double OpeningAdmission::Rate::perSecond(
    TimePoint now, const OpeningAdmissionSettings &settings) const {
  return Events * decay(now - At, settings.LoadSmoothing) * MicrosPerSecond /
         static_cast<double>(settings.LoadSmoothing.count());
}

void OpeningAdmission::update(TimePoint now, const AdmissionInputs &inputs) {
  Inputs = inputs;
  if (inputs.Slots <= 0 || inputs.RequestTime <= Duration{0}) {
    Load = 0;
    Short = false;
    UpdatedAt = now;
    return;
  }
  double sample = std::min(MaxLoadSample,
                           inputs.InProgress *
                               slotUse(inputs.RequestTime, inputs.Handshake) /
                               inputs.Slots);
  if (UpdatedAt != TimePoint{})
    Load +=
        (1 - decay(now - UpdatedAt, Settings.LoadSmoothing)) * (sample - Load);
  UpdatedAt = now;
  bool isCalm = inputs.SiteLoad && *inputs.SiteLoad >= 0 &&
                *inputs.SiteLoad < Settings.CalmSiteLoad;
  if (isCalm)
    Short = false;
  else if (!Short)
    Short = Load >= Settings.ShortageLoad;
  else if (Load < Settings.EnoughLoad)
    Short = !Queue.empty();
}

double OpeningAdmission::limit() const {
  return Inputs.Slots * (1 + Settings.QueuePerSlot) /
         slotUse(Inputs.RequestTime, Inputs.Handshake);
}

bool OpeningAdmission::isUrgent(TimePoint now, const Entry &entry) const {
  return !entry.Late &&
         std::any_of(Arrivals.begin(), Arrivals.end(), [&](const auto &it) {
           return it.first > entry.Opening.Priority &&
                  it.second.perSecond(now, Settings) >= MinOtherArrivals;
         });
}

double OpeningAdmission::limitFor(TimePoint now, const Entry &entry) const {
  if (!isUrgent(now, entry))
    return limit();
  return limit() *
         (1 + Settings.UrgentQueuePerSlot / (1 + Settings.QueuePerSlot));
}

bool OpeningAdmission::hasRoom(TimePoint now, const Entry &entry) const {
  double most = limitFor(now, entry);
  if (Inputs.InProgress + 1 <= most)
    return true;
  // A share of less than one request, or a fractional part of it, is used for
  // that part of the time; see recordPlaced().
  return Inputs.InProgress < most && now >= PartFreeAt;
}

void OpeningAdmission::recordPlaced(TimePoint now, const Entry &entry) {
  double most = limitFor(now, entry);
  double part = most - std::floor(most);
  if (Inputs.InProgress + 1 <= most || part <= 0)
    return;
  PartFreeAt =
      now + std::min(MaxPartInterval, scaled(Inputs.RequestTime, 1 / part));
}

Duration OpeningAdmission::answerTime(Duration objective) const {
  // The request time measured while queues were full does not hold once the
  // requests in progress are limited.
  return std::min(Inputs.RequestTime, objective / 2);
}

bool OpeningAdmission::goesBefore(const Entry &a, const Entry &b) {
  auto rank = [](const Entry &it) {
    return std::make_tuple(it.Late, it.Opening.Priority, it.VirtualAt,
                           it.LeastLeft, it.Opening.Id);
  };
  return rank(a) < rank(b);
}

void OpeningAdmission::setLateness(TimePoint now, Entry &entry) const {
  const OpeningRequest &it = entry.Opening;
  bool refusable = now <= it.RefusableUntil;
  if (it.Objective == Duration{0}) {
    entry.Deadline = refusable ? it.RefusableUntil : now;
    return;
  }
  TimePoint latest = it.SentAt + it.Objective - answerTime(it.Objective);
  entry.Late = now >= latest;
  if (!entry.Late)
    entry.Deadline = latest;
  else
    entry.Deadline =
        refusable ? now : it.SentAt + lateOpeningMaxAge(it.Timeout);
}

OpeningAdmission::Entry
OpeningAdmission::makeEntry(TimePoint now,
                            const OpeningRequest &opening) const {
  Entry entry;
  entry.Opening = opening;
  setLateness(now, entry);
  entry.LeastLeft = opening.SentAt + opening.Objective;
  auto next = NextVirtual.find(opening.Caller);
  entry.VirtualAt = next == NextVirtual.end()
                        ? now
                        : std::clamp(next->second, now, now + MaxCallerLead);
  if (now <= opening.RefusableUntil && opening.Objective > Duration{0})
    entry.Deadline =
        std::min(opening.RefusableUntil,
                 now + scaled(entry.Deadline - now, Settings.WaitPart));
  return entry;
}

Duration OpeningAdmission::expectedWait(TimePoint now, const Entry &entry,
                                        size_t ahead) const {
  if (!Short || (ahead == 0 && hasRoom(now, entry)))
    return Duration{0};
  double most = limitFor(now, entry);
  double over = std::max(0.0, Inputs.InProgress + 1 - most);
  double time = static_cast<double>(Inputs.RequestTime.count());
  double rate =
      most * MicrosPerSecond / time - FlowRequests.perSecond(now, Settings);
  for (const auto &[other, arrivals] : Arrivals)
    if (entry.Late || other < entry.Opening.Priority)
      rate -= arrivals.perSecond(now, Settings);
  double work = static_cast<double>(ahead) + over;
  if (rate * static_cast<double>(MaxExpectedWait.count()) <=
      work * MicrosPerSecond)
    return MaxExpectedWait;
  return Duration(static_cast<int64_t>(work / rate * MicrosPerSecond));
}

OpeningVerdict OpeningAdmission::verdictFor(TimePoint now, const Entry &entry,
                                            size_t ahead, Duration wait) const {
  if (!Short || (ahead == 0 && hasRoom(now, entry)))
    return OpeningVerdict::Place;
  if (now <= entry.Opening.RefusableUntil)
    return now + wait > entry.Deadline ? OpeningVerdict::Refuse
                                       : OpeningVerdict::Wait;
  return now >= entry.Deadline ? OpeningVerdict::Place : OpeningVerdict::Wait;
}

AdmissionForecast
OpeningAdmission::forecast(TimePoint now, const OpeningRequest &opening) const {
  Entry entry = makeEntry(now, opening);
  AdmissionForecast result;
  result.Ahead = static_cast<size_t>(
      std::upper_bound(Queue.begin(), Queue.end(), entry, goesBefore) -
      Queue.begin());
  result.ExpectedWait = expectedWait(now, entry, result.Ahead);
  result.MaxWait = entry.Deadline - now;
  result.Verdict = verdictFor(now, entry, result.Ahead, result.ExpectedWait);
  return result;
}

std::optional<AdmissionForecast>
OpeningAdmission::forecastWaiting(TimePoint now, uint64_t id) const {
  for (size_t i = 0; i < Queue.size(); ++i) {
    if (Queue[i].Opening.Id != id)
      continue;
    Duration wait = expectedWait(now, Queue[i], i);
    return AdmissionForecast{verdictFor(now, Queue[i], i, wait), wait,
                             Queue[i].Deadline - now, i};
  }
  return std::nullopt;
}

OpeningVerdict OpeningAdmission::decide(TimePoint now,
                                        const OpeningRequest &opening) {
  auto arrivals =
      std::find_if(Arrivals.begin(), Arrivals.end(), [&](const auto &it) {
        return it.first == opening.Priority;
      });
  if (arrivals == Arrivals.end())
    arrivals = Arrivals.insert(arrivals, {opening.Priority, Rate()});
  arrivals->second.add(now, Settings);
  OpeningVerdict verdict = forecast(now, opening).Verdict;
  if (!Short || verdict == OpeningVerdict::Refuse)
    return verdict;
  Entry entry = makeEntry(now, opening);
  chargeCaller(now, entry);
  if (verdict == OpeningVerdict::Place)
    recordPlaced(now, entry);
  else
    insert(entry);
  return verdict;
}

void OpeningAdmission::chargeCaller(TimePoint now, const Entry &entry) {
  NextVirtual[entry.Opening.Caller] = entry.VirtualAt + CallerInterval;
  if (now - PrunedAt < MaxCallerLead)
    return;
  PrunedAt = now;
  for (auto it = NextVirtual.begin(); it != NextVirtual.end();)
    if (it->second <= now)
      NextVirtual.erase(it++);
    else
      ++it;
}

void OpeningAdmission::insert(Entry entry) {
  // Of one caller's openings, the one with the least time left has the first
  // turn. From the last to the first, so that the others keep their order.
  for (auto it = Queue.rbegin(); it != Queue.rend(); ++it)
    if (it->Opening.Caller == entry.Opening.Caller && it->Late == entry.Late &&
        it->Opening.Priority == entry.Opening.Priority &&
        it->LeastLeft > entry.LeastLeft && it->VirtualAt < entry.VirtualAt)
      std::swap(it->VirtualAt, entry.VirtualAt);
  Queue.push_back(entry);
  std::stable_sort(Queue.begin(), Queue.end(), goesBefore);
  if (Queue.size() <= Settings.MaxWaiting)
    return;
  bool refusable = UpdatedAt <= Queue.back().Opening.RefusableUntil;
  Evicted.push_back(
      removeAt(UpdatedAt, Queue.size() - 1,
               refusable ? OpeningVerdict::Refuse : OpeningVerdict::Drop));
}

OpeningAdmission::Ended OpeningAdmission::removeAt(TimePoint now, size_t index,
                                                   OpeningVerdict verdict) {
  const OpeningRequest &opening = Queue[index].Opening;
  Ended ended{opening.Id, verdict};
  auto next = NextVirtual.find(opening.Caller);
  if (verdict == OpeningVerdict::Place)
    recordPlaced(now, Queue[index]);
  else if (next != NextVirtual.end())
    next->second -= CallerInterval;
  Queue.erase(Queue.begin() + static_cast<std::ptrdiff_t>(index));
  return ended;
}

std::optional<OpeningAdmission::Ended>
OpeningAdmission::takeNext(TimePoint now) {
  if (!Evicted.empty()) {
    Ended ended = Evicted.back();
    Evicted.pop_back();
    return ended;
  }
  if (Queue.empty())
    return std::nullopt;
  if (!Short || hasRoom(now, Queue.front()))
    return removeAt(now, 0, OpeningVerdict::Place);
  auto due = nextWakeup();
  if (now - ReviewedAt < ReviewInterval && due && now < *due)
    return std::nullopt;
  return review(now);
}

std::optional<OpeningAdmission::Ended> OpeningAdmission::review(TimePoint now) {
  bool changed = false;
  for (Entry &it : Queue)
    if (now > it.Opening.RefusableUntil && !it.Late) {
      setLateness(now, it);
      changed = changed || it.Late;
    }
  if (changed)
    std::stable_sort(Queue.begin(), Queue.end(), goesBefore);
  for (size_t i = 0; i < Queue.size(); ++i) {
    OpeningVerdict verdict =
        verdictFor(now, Queue[i], i, expectedWait(now, Queue[i], i));
    if (verdict != OpeningVerdict::Wait)
      return removeAt(now, i, verdict);
  }
  ReviewedAt = now;
  return std::nullopt;
}

std::vector<uint64_t> OpeningAdmission::removeAll() {
  std::vector<uint64_t> ids;
  for (const Entry &it : Queue)
    ids.push_back(it.Opening.Id);
  for (const Ended &it : Evicted)
    ids.push_back(it.Id);
  Queue.clear();
  Evicted.clear();
  return ids;
}

void OpeningAdmission::remove(uint64_t id) {
  Queue.erase(
      std::remove_if(Queue.begin(), Queue.end(),
                     [id](const Entry &it) { return it.Opening.Id == id; }),
      Queue.end());
}

void OpeningAdmission::setNotRefusable(uint64_t id) {
  for (Entry &it : Queue)
    if (it.Opening.Id == id)
      it.Opening.RefusableUntil = {};
}

std::optional<TimePoint> OpeningAdmission::nextWakeup() const {
  if (!Evicted.empty())
    return TimePoint{};
  if (Queue.empty())
    return std::nullopt;
  TimePoint next = Queue.front().Deadline;
  for (const Entry &it : Queue)
    next = std::min(next, it.Deadline);
  if (Inputs.InProgress < limit() && PartFreeAt > UpdatedAt)
    next = std::min(next, PartFreeAt);
  return next;
}

} // namespace balsamrack
