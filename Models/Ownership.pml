/* Ownership of one backend server inside a failure domain; see
 * docs/design/models.md.
 *
 * defects: NO_FENCE NO_QUARANTINE NO_VIEW_CHECK NO_SEQUENCE NO_GIVE_UP KEEP_AFTER_LAPSE RELEASE_KEEPS QUIET_OF_LIVE_ONLY
 * limits: PAUSE_AFTER_CHECK
 * reached: REACH_TAKEOVER REACH_HANDOVER
 *
 * Three daemons; 0 is first in rank, then 1, then 2. Any of them may be paused
 * at any moment and resume late; a paused one may be declared dead by some and
 * not yet by others (two views); every message may be lost or delayed. There is
 * no partition inside the domain: docs/UNPROVED.md. Guarantee: at no moment may
 * two daemons both dispatch to the server.
 */
#define N 3
#define LEASE 1          /* LeaseTime in ticks */
#define WAIT (LEASE + 1) /* takeoverWait: with the margin for clock drift */
#define PAUSES 2 /* every seeded defect needs two to show */
#define BIT(i) (1 << (i))
#define ALL 7

bool paused[N];
bool owned[N];      /* Phase::Owned */
bool unproven[N];   /* SwimMembership::mayRenewLeases is false */
bool awake[N];      /* has run at least since the last tick */
bool ended[N];      /* the lease had expired before this tick */
byte view[N];       /* live daemons as seen by each */
byte lease[N];      /* ticks until the fence closes */
byte rel[N];        /* bit set: who released it to this one in its sequence */
byte waitFor[N];    /* ticks until the leases of dead daemons have expired */
byte alone[N];      /* ticks that an expired daemon without peers has waited */
byte quiet[9];      /* i * N + j: ticks since i renewed the lease of j, or j
                     * stopped running (MemberView::AliveUntil is not earlier) */
byte refutation[N]; /* as sent by the daemon itself */
byte known[9];      /* i * N + j: refutation of j that is known to i */
/* i * N + j: a release in transit to i from j: 0 none, else 1 + quiet time. A
 * release for an earlier request is ignored on arrival, so it is dropped when
 * the request is restarted; NO_SEQUENCE keeps it. */
byte letter[9];
byte pausesLeft = PAUSES;
#ifdef PAUSE_AFTER_CHECK
bool checked[N]; /* the check has passed, but nothing was sent yet */
#endif

#define isLive(i, j) ((view[i] & BIT(j)) != 0)
#define first(v) ((v & 1) != 0 -> 0 : ((v & 2) != 0 -> 1 : 2))
#define wants(i) (!owned[i] && first(view[i]) == i)

/* Whether the lease of y, as x itself renewed it, may still be valid. */
#define ownWait(x, y) (!isLive(x, y) && quiet[x * N + y] < WAIT)

#define mayRenew(y) (!unproven[y])
#ifdef NO_VIEW_CHECK
#define sameView(x, y) true
#else
#define sameView(x, y) (view[y] == view[x])
#endif
#ifdef NO_QUARANTINE
#define leasesEnded(x) true
#else
#define leasesEnded(x) (waitFor[x] == 0 && !ownWait(x, 0) && !ownWait(x, 1) && !ownWait(x, 2))
#endif

/* OwnershipFence::mayDispatch and OwnershipTracker::owns */
#ifdef NO_FENCE
#define may(i) (owned[i])
#else
#define may(i) (owned[i] && lease[i] > 0)
#endif

inline promise() {
#ifndef PAUSE_AFTER_CHECK
#ifdef NO_FENCE
  assert(!(may(0) && !paused[0] && may(1) && !paused[1]));
  assert(!(may(0) && !paused[0] && may(2) && !paused[2]));
  assert(!(may(1) && !paused[1] && may(2) && !paused[2]))
#else
  /* A paused daemon counts too: it may resume and dispatch at any moment. */
  assert(!(may(0) && may(1)) && !(may(0) && may(2)) && !(may(1) && may(2)))
#endif
#else
  skip
#endif
}

/* OwnershipTracker::restartRequests */
inline restart(r) {
  rel[r] = 0;
  waitFor[r] = 0;
#ifndef NO_SEQUENCE
  letter[r * N + 0] = 0; letter[r * N + 1] = 0; letter[r * N + 2] = 0;
#endif
  skip
}

/* OwnershipTracker, AuthorityExpired */
inline giveUp(g) {
  owned[g] = false;
  restart(g)
}

inline setView(s, v) {
  if
  :: view[s] != (v) -> view[s] = (v); restart(s)
  :: else -> skip
  fi
}

/* One probe and its reply: OwnershipFence::renewLease at x,
 * MemberTable::renewLease at y. Many probes are sent during a tick, so a tick
 * either renews the lease or means that every reply was lost. An expired lease
 * is not renewed without giving up ownership: state Renewed, AuthorityExpired,
 * restart. */
inline renew(x, y) {
  unproven[x] = false;
  if
  :: ended[x] ->
#ifndef KEEP_AFTER_LAPSE
     giveUp(x)
#else
     skip
#endif
  :: else -> skip
  fi;
  lease[x] = LEASE;
  quiet[y * N + x] = 0
}

inline fallAsleep(x) {
  paused[x] = true;
  awake[x] = false;
#ifndef QUIET_OF_LIVE_ONLY
  quiet[0 * N + x] = 0; quiet[1 * N + x] = 0; quiet[2 * N + x] = 0;
#endif
  skip
}

/* A suspicion expires without refutation: only for a daemon that is paused. */
inline declareDead(x, y) {
  if
  :: paused[y] && isLive(x, y) ->
     setView(x, view[x] & ~BIT(y))
  :: else -> skip
  fi
}

/* A declaration of death, sent from z to x; MemberTable::apply: the older
 * refutation is overridden. */
inline gossipDead(x, z, y) {
  if
  :: isLive(x, y) && !isLive(z, y) && known[z * N + y] >= known[x * N + y] ->
     known[x * N + y] = known[z * N + y];
     setView(x, view[x] & ~BIT(y))
  :: else -> skip
  fi
}

/* y learns from x that it was declared dead and refutes it: MemberTable::refute,
 * action DeclaredDead. */
inline refute(x, y) {
  if
  :: !isLive(x, y) ->
     if
     :: known[x * N + y] >= refutation[y] ->
        refutation[y] = known[x * N + y] + 1;
#ifndef NO_GIVE_UP
        giveUp(y)
#endif
     :: else -> skip
     fi;
     known[x * N + y] = refutation[y];
     setView(x, view[x] | BIT(y))
  :: else -> skip
  fi
}

/* A refutation, sent from z to x. */
inline gossipAlive(x, z, y) {
  if
  :: !isLive(x, y) && isLive(z, y) && known[z * N + y] > known[x * N + y] ->
     known[x * N + y] = known[z * N + y];
     setView(x, view[x] | BIT(y))
  :: else -> skip
  fi
}

/* A request from x to y: OwnershipTracker::sendDueRequests at x, onRequest and
 * addReplyFor at y. The release is in transit; an earlier one is lost. */
inline question(x, y) {
  byte q;
  if
  :: wants(x) && isLive(x, y) && isLive(y, x) && first(view[y]) == x && sameView(x, y) ->
#ifndef RELEASE_KEEPS
     owned[y] = false;
#endif
     q = WAIT;
     /* OwnershipTracker::timeSinceDeadLease */
     if
     :: !isLive(y, 0) && quiet[y * N + 0] < q -> q = quiet[y * N + 0]
     :: else -> skip
     fi;
     if
     :: !isLive(y, 1) && quiet[y * N + 1] < q -> q = quiet[y * N + 1]
     :: else -> skip
     fi;
     if
     :: !isLive(y, 2) && quiet[y * N + 2] < q -> q = quiet[y * N + 2]
     :: else -> skip
     fi;
     letter[x * N + y] = 1 + q;
     q = 0
  :: else -> skip
  fi
}

/* OwnershipTracker::onReply */
inline answer(x, y) {
  if
  :: letter[x * N + y] > 0 && wants(x) && isLive(x, y) ->
     rel[x] = rel[x] | BIT(y);
     if
     :: WAIT - (letter[x * N + y] - 1) > waitFor[x] ->
        waitFor[x] = WAIT - (letter[x * N + y] - 1)
     :: else -> skip
     fi
  :: else -> skip
  fi;
  letter[x * N + y] = 0
}

/* OwnershipTracker::acquireReleased */
inline gain(x) {
  if
  :: wants(x) && (rel[x] | BIT(x)) == view[x] && leasesEnded(x) ->
     owned[x] = true;
#ifdef REACH_TAKEOVER
     assert(x == 0);
#endif
#ifdef REACH_HANDOVER
     assert(x != 0);
#endif
     promise()
  :: else -> skip
  fi
}

/* OwnershipFence::onTick without peers */
inline tickAlone(x) {
  if
  :: view[x] == BIT(x) && lease[x] == 0 && alone[x] >= WAIT ->
     giveUp(x);
     lease[x] = LEASE;
     alone[x] = 0
  :: view[x] != BIT(x) && unproven[x] && alone[x] >= WAIT -> unproven[x] = false
  :: else -> skip
  fi
}

inline pass(x) {
  ended[x] = (lease[x] == 0);
  awake[x] = !paused[x];
  if
  :: lease[x] > 0 -> lease[x]--
  :: else -> skip
  fi;
  if
  :: waitFor[x] > 0 -> waitFor[x]--
  :: else -> skip
  fi;
  if
  :: paused[x] -> alone[x] = 0
  :: !paused[x] && (unproven[x] || view[x] == BIT(x) && lease[x] == 0) && alone[x] < WAIT ->
     alone[x]++
  :: else -> skip
  fi
}

inline quieter(x) {
  if
  :: quiet[x] < WAIT -> quiet[x]++
  :: else -> skip
  fi
}

init {
  atomic {
    view[0] = ALL; view[1] = ALL; view[2] = ALL;
    lease[0] = LEASE; lease[1] = LEASE; lease[2] = LEASE;
    owned[0] = true;
    run Daemon(0, 1, 2); run Daemon(1, 0, 2); run Daemon(2, 0, 1);
    run Time()
  }
}

/* All steps of daemon i, alone and with each of the other daemons. */
proctype Daemon(byte i, j, k) {
  do
  :: d_step { !paused[i] && pausesLeft > 0 -> pausesLeft--; fallAsleep(i) }
  :: d_step { paused[i] -> paused[i] = false; unproven[i] = true; alone[i] = 0 }
  :: d_step { !paused[i] && paused[j] && isLive(i, j) -> declareDead(i, j) }
  :: d_step { !paused[i] && paused[k] && isLive(i, k) -> declareDead(i, k) }
  :: d_step { !paused[i] && !paused[j] && isLive(i, k) != isLive(j, k) ->
      gossipDead(i, j, k); gossipAlive(i, j, k) }
  :: d_step { !paused[i] && !paused[k] && isLive(i, j) != isLive(k, j) ->
      gossipDead(i, k, j); gossipAlive(i, k, j) }
  :: d_step { !paused[i] && !paused[j] && !isLive(i, j) -> refute(i, j) }
  :: d_step { !paused[i] && !paused[k] && !isLive(i, k) -> refute(i, k) }
  :: d_step { !paused[i] && !paused[j] && wants(i) && isLive(i, j) -> question(i, j) }
  :: d_step { !paused[i] && !paused[k] && wants(i) && isLive(i, k) -> question(i, k) }
  :: d_step { !paused[i] && letter[i * N + j] > 0 -> answer(i, j) }
  :: d_step { !paused[i] && letter[i * N + k] > 0 -> answer(i, k) }
  :: d_step { !paused[i] && wants(i) -> gain(i) }
  :: d_step { !paused[i] && alone[i] >= WAIT -> tickAlone(i) }
#ifdef PAUSE_AFTER_CHECK
  :: d_step { !paused[i] && may(i) && !checked[i] -> checked[i] = true }
  :: d_step { !paused[i] && checked[i] ->
      /* The dispatch itself: by now another daemon may have gained the server. */
      assert(!may(j) && !may(k));
      checked[i] = false }
#endif
  od
}

#define answers(x, y) (!paused[x] && !paused[y] && isLive(x, y) && isLive(y, x) && mayRenew(y))
/* ch: 0 every reply was lost, 1 y replied, 2 z replied. */

inline renewOrNot(ch, x, y, z) {
  if
  :: ch == 1 -> renew(x, y)
  :: ch == 2 -> renew(x, z)
  :: ch == 0 && !paused[x] && view[x] == BIT(x) && !ended[x] -> lease[x] = LEASE
  :: else -> skip
  fi
}

/* There is no partition inside the domain: two daemons that run for a tick have
 * reached each other, since each probes the others and, occasionally, those that
 * it has declared dead. */
#define apart(x, y) (awake[x] && awake[y] && (!isLive(x, y) || !isLive(y, x)))

#define settled (!apart(0, 1) && !apart(0, 2) && !apart(1, 2))

inline choose(ch, x, y, z) {
  if
  :: ch = 0
  :: answers(x, y) -> ch = 1
  :: answers(x, z) -> ch = 2
  fi
}

proctype Time() {
  byte a, b, c;
  do
  :: atomic {
      settled ->
      choose(a, 0, 1, 2);
      choose(b, 1, 0, 2);
      choose(c, 2, 0, 1);
      d_step {
        pass(0); pass(1); pass(2);
        quieter(1); quieter(2); quieter(3); quieter(5); quieter(6); quieter(7);
        renewOrNot(a, 0, 1, 2); renewOrNot(b, 1, 0, 2); renewOrNot(c, 2, 0, 1);
        ended[0] = false; ended[1] = false; ended[2] = false;
        a = 0; b = 0; c = 0;
        promise()
      }
    }
  od
}
