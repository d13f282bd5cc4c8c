/* Merge of change tickets and bootstrap from a peer; see docs/design/models.md.
 *
 * defects: ACCEPT_LOWER_TICKET BOOTSTRAP_REPLACES FORGET_DELETED
 * reached: REACH_IN_FORCE
 *
 * Three tickets, two objects: 1 creates both, 2 changes the second, 3 deletes
 * the first. The platform fails over to replicas that lag; two daemons read it and
 * request state from each other in messages that may be delayed, duplicated,
 * reordered or lost. Guarantees: no daemon's state of an object ever reverts,
 * and two daemons hold the same after a complete exchange.
 */
#define DAEMONS 2
#define TICKETS 3
#define ASKS 4
#define READS 4

/* Number of the ticket whose state of the object is held; 0 for none. With
 * FORGET_DELETED a deletion leaves no tombstone. */
byte held[4]; /* daemon * 2 + object */
byte best[4]; /* highest number ever held */
byte asksLeft = ASKS;
byte readsLeft = READS;

/* A state message about one object: recipient, object, ticket. */
chan updates = [2] of { byte, byte, byte };

#ifdef FORGET_DELETED
#define forgotten(d, o) (o == 0 && best[d * 2 + o] == 3 && held[d * 2 + o] == 0)
#else
#define forgotten(d, o) false
#endif

inline note(nd, no) {
#ifdef FORGET_DELETED
  if
  :: no == 0 && held[nd * 2 + no] == 3 -> best[nd * 2 + no] = 3; held[nd * 2 + no] = 0
  :: else -> skip
  fi;
#endif
  /* Guarantee: never below what was in force before. */
  assert(held[nd * 2 + no] >= best[nd * 2 + no] || forgotten(nd, no));
  best[nd * 2 + no] = (held[nd * 2 + no] > best[nd * 2 + no] -> held[nd * 2 + no] : best[nd * 2 + no])
}

/* ConfigurationStore::mergeObject */
inline mergeOne(md, mo, mt) {
  if
#ifdef ACCEPT_LOWER_TICKET
  :: mt != held[md * 2 + mo] -> held[md * 2 + mo] = mt
#else
  :: mt > held[md * 2 + mo] -> held[md * 2 + mo] = mt
#endif
  :: else -> skip
  fi;
  note(md, mo)
}

/* The state of both objects at a replica that has the tickets up to h. */
inline replica(h, first, second) {
  if
  :: h == 0 -> first = 0; second = 0
  :: h == 1 -> first = 1; second = 1
  :: h == 2 -> first = 1; second = 2
  :: h == 3 -> first = 3; second = 2
  fi
}

/* PlatformLink::readTickets, answered by any replica. */
active proctype Platform() {
  byte h, d, t, u;
  do
  :: atomic {
      readsLeft > 0 ->
      readsLeft--;
      select(h : 0 .. TICKETS);
      select(d : 0 .. 1);
      replica(h, t, u);
      if
      :: h > 0 -> mergeOne(d, 0, t); mergeOne(d, 1, u)
      :: else -> skip
      fi;
#ifdef REACH_IN_FORCE
      assert(!(held[0] == 3 && held[1] == 2 && held[2] == 3 && held[3] == 2));
#endif
      h = 0; d = 0; t = 0; u = 0
    }
  :: readsLeft == 0 -> break
  od
}

/* ConfigurationStore::updatesFor, requested by the other daemon. */
active [DAEMONS] proctype Ask() {
  byte o;
  do
  :: atomic {
      asksLeft > 0 && nfull(updates) ->
      asksLeft--;
      select(o : 0 .. 1);
      if
      :: held[(1 - _pid % 2) * 2 + o] > 0 ->
         updates!(_pid % 2), o, held[(1 - _pid % 2) * 2 + o]
      :: else -> skip
      fi;
      o = 0
    }
  :: asksLeft == 0 -> break
  od
}

#ifdef BOOTSTRAP_REPLACES
inline takeUpdate(td, to, tt) { held[td * 2 + to] = tt; note(td, to) }
#else
inline takeUpdate(td, to, tt) { mergeOne(td, to, tt) }
#endif

/* Delivery: in any order, lost, or duplicated. */
active proctype Network() {
  byte d, o, t;
  do
  :: atomic {
      nempty(updates) ->
      updates?d, o, t;
      if
      :: nempty(updates) -> updates!d, o, t; updates?d, o, t
      :: true
      fi;
      if
      :: skip /* lost */
      :: true -> takeUpdate(d, o, t)
      :: true -> mergeOne(d, o, t); updates!d, o, t /* delivered again later */
      fi;
      d = 0; o = 0; t = 0
    }
  :: asksLeft == 0 && readsLeft == 0 && empty(updates) -> break
  od;
  /* After a complete exchange in both directions they hold the same. */
  atomic {
    mergeOne(0, 0, held[2]); mergeOne(0, 1, held[3]);
    mergeOne(1, 0, held[0]); mergeOne(1, 1, held[1]);
    assert(held[0] == held[2] && held[1] == held[3])
  }
}
