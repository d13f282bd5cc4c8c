/* Published state: reads of a store, updates between daemons; see
 * docs/design/models.md.
 *
 * defects: LIST_AS_LAST_PAGE MARKS_BY_AGE TAKE_UNKNOWN GAP_COMPLETES FORGET_WITHOUT_MARK
 * defects: LISTING_TELLS_CHANGES LISTING_IS_NO_CHANGE FORGET_BEYOND_A_GAP
 * reached: REACH_COMPLETE REACH_GONE_AGAIN
 *
 * A store makes up to three changes: an object is put or removed, or something
 * in another section changes. Two daemons list it (in two pages that are no
 * snapshot, from a replica that may lag), watch it, send each other the changes
 * that the other lacks, in messages that may be delayed, reordered or lost, drop
 * tombstones, and one may restart. Guarantees: within a run no object reverts to
 * an earlier state, and a state that a daemon considers complete up to a revision
 * holds every change up to it and no object that had been removed by then.
 */
#define REVISIONS 3
#define READS 3
#define SENDS 2

#define NONE 2

/* The store's history: at revision r, object histObject[r] (NONE: another
 * section) was put or, with histGone[r], removed. */
byte histObject[4];
bool histGone[4];
byte storeAt = 0;

/* Indexed by daemon * 2 + object: revision of the held state, zero for unknown;
 * whether it was removed; the highest revision held in this run. */
byte held[4];
bool gone[4];
byte best[4];
/* Indexed by daemon. */
byte completeAs[2];
byte lastChange[2];
byte forgotUpTo[2];

byte readsLeft = READS;
byte sendsLeft = SENDS;
bool mayRestart = true;

/* Recipient, after, as of, last change, state of both objects: revision * 2 +
 * gone; zero for not included. */
chan updates = [2] of { byte, byte, byte, byte, byte, byte };

/* The true state of object o at revision r: revision and whether it was removed. */
inline truth(o, r, rev, isGone) {
  rev = 0; isGone = true;
  byte ti = 1;
  do
  :: ti <= r ->
     if
     :: histObject[ti] == o -> rev = ti; isGone = histGone[ti]
     :: else -> skip
     fi;
     ti++
  :: else -> break
  od;
  ti = 0
}

/* Checks the guarantees on what daemon d holds; used after every step. */
inline check(d) {
  byte co = 0; byte cr; bool cg; byte cl;
  do
  :: co < 2 ->
     if
     :: held[d * 2 + co] > 0 ->
        /* No object reverts within a run. */
        assert(gone[d * 2 + co] || held[d * 2 + co] >= best[d * 2 + co]);
        best[d * 2 + co] = (held[d * 2 + co] > best[d * 2 + co] -> held[d * 2 + co] : best[d * 2 + co])
     :: else -> skip
     fi;
     if
     :: completeAs[d] > 0 ->
        truth(co, completeAs[d], cr, cg);
        /* Removed between two pages of a listing: the listing is then ahead of the
         * revision that it is recorded as, and rightly lacks the object. */
        cl = completeAs[d] + 1;
        do
        :: cl <= storeAt ->
           cg = cg || (histObject[cl] == co && histGone[cl] && (held[d * 2 + co] == 0 || gone[d * 2 + co]));
           cl++
        :: else -> break
        od;
        /* No change up to that revision is missing, and no removed object is held. */
        assert(cg || (held[d * 2 + co] >= cr));
        assert(cg || !gone[d * 2 + co] || held[d * 2 + co] > completeAs[d]);
        assert(!cg || held[d * 2 + co] == 0 || gone[d * 2 + co] || held[d * 2 + co] > completeAs[d])
     :: else -> skip
     fi;
     co++
  :: else -> break
  od;
  co = 0; cr = 0; cg = false; cl = 0
}

/* PublishedStore::apply */
inline apply(d, o, rev, isGone) {
  byte known;
  known = (held[d * 2 + o] == 0 -> completeAs[d] : held[d * 2 + o]);
#ifdef TAKE_UNKNOWN
  known = held[d * 2 + o];
#endif
  if
  :: rev > known ->
     held[d * 2 + o] = rev;
     gone[d * 2 + o] = isGone;
     lastChange[d] = (rev > lastChange[d] -> rev : lastChange[d])
  :: else -> skip
  fi;
  known = 0
}

/* PublishedStore::merge of objects sent as "revision * 2 + gone". */
inline merge(d, after, as, first, second) {
  if
  :: first > 0 -> apply(d, 0, first / 2, first % 2)
  :: else -> skip
  fi;
  if
  :: second > 0 -> apply(d, 1, second / 2, second % 2)
  :: else -> skip
  fi;
  if
  :: after == 0 && as > completeAs[d] ->
     if
     :: first == 0 && held[d * 2] > 0 && !gone[d * 2] && held[d * 2] <= as ->
        held[d * 2] = as; gone[d * 2] = true;
        lastChange[d] = (as > lastChange[d] -> as : lastChange[d])
     :: else -> skip
     fi;
     if
     :: second == 0 && held[d * 2 + 1] > 0 && !gone[d * 2 + 1] && held[d * 2 + 1] <= as ->
        held[d * 2 + 1] = as; gone[d * 2 + 1] = true;
        lastChange[d] = (as > lastChange[d] -> as : lastChange[d])
     :: else -> skip
     fi;
#ifndef LISTING_TELLS_CHANGES
     forgotUpTo[d] = (as > forgotUpTo[d] -> as : forgotUpTo[d]);
#endif
#ifndef LISTING_IS_NO_CHANGE
     lastChange[d] = (as > lastChange[d] -> as : lastChange[d])
#endif
  :: else -> skip
  fi;
#ifdef GAP_COMPLETES
  completeAs[d] = (as > completeAs[d] -> as : completeAs[d])
#else
  if
  :: after == 0 || after <= completeAs[d] ->
     completeAs[d] = (as > completeAs[d] -> as : completeAs[d])
  :: else -> skip
  fi
#endif
}

/* PublishedStore::extendCompleteness */
inline mergeDigests(d, last, as) {
  if
#ifdef MARKS_BY_AGE
  :: completeAs[d] > 0 && as > completeAs[d] -> completeAs[d] = as
#else
  :: completeAs[d] > 0 && completeAs[d] >= last && as > completeAs[d] ->
     completeAs[d] = as
#endif
  :: else -> skip
  fi
}

active proctype Store() {
  byte o; bool g;
  do
  :: atomic {
      storeAt < REVISIONS ->
      if
      :: o = 0
      :: o = 1
      :: o = NONE
      fi;
      if
      :: g = false
      :: o < NONE -> g = true
      fi;
      storeAt++;
      histObject[storeAt] = o;
      histGone[storeAt] = g;
      o = 0; g = false
    }
  :: storeAt == REVISIONS -> break
  od
}

/* StoreReader: a listing in two pages, or the changes after the held revision. */
active proctype Reader() {
  byte d, r1, r2, ra, rb, i; bool ga, gb;
  do
  :: atomic {
      readsLeft > 0 && storeAt > 0 ->
      readsLeft--;
      select(d : 0 .. 1);
      if
      :: true -> /* a listing, which may lag */
         select(r1 : 1 .. REVISIONS);
         select(r2 : 1 .. REVISIONS);
         if
         :: r1 <= r2 && r2 <= storeAt ->
            truth(0, r1, ra, ga);
            truth(1, r2, rb, gb);
#ifdef LIST_AS_LAST_PAGE
            merge(d, 0, r2, (ga -> 0 : ra * 2), (gb -> 0 : rb * 2))
#else
            merge(d, 0, r1, (ga -> 0 : ra * 2), (gb -> 0 : rb * 2))
#endif
         :: else -> skip
         fi
      :: completeAs[d] > 0 -> /* a watch: every change in order */
         i = completeAs[d] + 1;
         r1 = completeAs[d];
         do
         :: i <= storeAt ->
            if
            :: histObject[i] < NONE -> apply(d, histObject[i], i, histGone[i])
            :: else -> skip
            fi;
            i++
         :: else -> break
         od;
         completeAs[d] = (storeAt > completeAs[d] -> storeAt : completeAs[d])
      fi;
      check(d);
#ifdef REACH_COMPLETE
      assert(!(completeAs[0] == REVISIONS && completeAs[1] == REVISIONS && held[0] > 0 && held[2] > 0));
#endif
#ifdef REACH_GONE_AGAIN
      assert(!(gone[0] && held[0] > 0 && !gone[2] && held[2] > 0 && completeAs[0] > completeAs[1]));
#endif
      d = 0; r1 = 0; r2 = 0; ra = 0; rb = 0; i = 0; ga = false; gb = false
    }
  :: readsLeft == 0 -> break
  od
}

/* StateExchange::handleRequest: what the peer lacked when it sent the request,
 * which may be long ago. */
active proctype Teller() {
  byte d, after, first, second;
  do
  :: atomic {
      sendsLeft > 0 && nfull(updates) ->
      sendsLeft--;
      select(d : 0 .. 1);
      select(after : 0 .. REVISIONS);
      if
      :: completeAs[d] > after && (after == 0 || after <= completeAs[1 - d]) ->
         /* PublishedStore::changesAfter */
#ifdef FORGET_WITHOUT_MARK
         if
         :: after == 0 -> skip
         :: else -> skip
         fi;
#else
         if
         :: after < forgotUpTo[d] -> after = 0
         :: else -> skip
         fi;
#endif
         if
         :: after == 0 ->
            first = (held[d * 2] > 0 && !gone[d * 2] -> held[d * 2] * 2 : 0);
            second = (held[d * 2 + 1] > 0 && !gone[d * 2 + 1] -> held[d * 2 + 1] * 2 : 0)
         :: else ->
            first = (held[d * 2] > after -> held[d * 2] * 2 + gone[d * 2] : 0);
            second = (held[d * 2 + 1] > after -> held[d * 2 + 1] * 2 + gone[d * 2 + 1] : 0)
         fi;
         updates!(1 - d), after, completeAs[d], lastChange[d], first, second
      :: else -> skip
      fi;
      d = 0; after = 0; first = 0; second = 0
    }
  :: sendsLeft == 0 -> break
  od
}

/* Delivery: in any order, or lost. StateExchange::handleUpdate. */
active proctype Network() {
  byte d, after, as, last, first, second;
  do
  :: atomic {
      nempty(updates) ->
      updates?d, after, as, last, first, second;
      if
      :: nempty(updates) ->
         updates!d, after, as, last, first, second;
         updates?d, after, as, last, first, second
      :: true
      fi;
      if
      :: skip /* lost */
      :: true ->
         merge(d, after, as, first, second);
         check(d);
         mergeDigests(d, last, as);
         check(d)
      fi;
      d = 0; after = 0; as = 0; last = 0; first = 0; second = 0
    }
  :: sendsLeft == 0 && empty(updates) && readsLeft == 0 -> break
  od
}

/* PublishedStore::dropOldTombstones, and a restart. */
active proctype Forgetting() {
  byte x;
  do
  :: atomic {
      (readsLeft > 0 || sendsLeft > 0) ->
      select(x : 0 .. 3);
      if
#ifdef FORGET_BEYOND_A_GAP
      :: held[x] > 0 && gone[x] ->
#else
      :: held[x] > 0 && gone[x] && held[x] <= completeAs[x / 2] ->
#endif
         forgotUpTo[x / 2] = (held[x] > forgotUpTo[x / 2] -> held[x] : forgotUpTo[x / 2]);
         held[x] = 0; gone[x] = false
      :: else -> skip
      fi;
      x = 0
    }
  :: atomic {
      mayRestart ->
      mayRestart = false;
      held[0] = 0; held[1] = 0; gone[0] = false; gone[1] = false;
      best[0] = 0; best[1] = 0;
      completeAs[0] = 0; lastChange[0] = 0; forgotUpTo[0] = 0
    }
  :: readsLeft == 0 && sendsLeft == 0 -> break
  od
}
