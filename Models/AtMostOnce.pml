/* A request that may run at most once, retried by its caller; see
 * docs/design/models.md.
 *
 * defects: NO_CLAIM RETRY_AFTER_DISPATCH CLAIM_AFTER_DISPATCH FRESH_GRANTS FREE_UNKNOWN SAY_NOT_RUN
 * limits: BOTH_DIE_DURING_CLAIM
 * reached: REACH_ANSWERED REACH_RETRY
 *
 * The caller sends the same idempotency key up to three times, each time to
 * another daemon and before the previous attempt has ended. Two key replicas
 * store keys; both may fail and restart without any stored key (Fresh), but not
 * both while one claim is in progress (docs/UNPROVED.md). Owners may fail at any
 * step, replies may be lost, and a backend server may refuse a connection
 * (provably not run). Guarantees: the server runs the key at most once, and an
 * attempt that was reported as "not run" never runs.
 */
#define ATTEMPTS 3
#define NONE 0
#define TOLD_NOT_RUN 1
#define TOLD_UNKNOWN 2
#define TOLD_ANSWERED 3

/* KeyVerdict */
#define GRANTED 1
#define TAKEN 2
#define FRESH 3
#define SILENT 4

byte holder[2];  /* 1 + attempt that holds the key at a replica; 0 for none */
bool fresh[2];   /* it has been up for less than the retention time of keys */
bool dead[2];
byte deathsLeft = 2;
byte claiming = 0;       /* attempts between their first claim and the verdict */
bool diedDuring = false; /* a key replica failed since claiming was last 0 */
byte runs = 0;
byte ended[ATTEMPTS];
bool ran[ATTEMPTS];
bool sent[ATTEMPTS]; /* in transit to the server, and may arrive late */

/* The key replica stores the attempt before it replies. */
inline claim(g, a, verdict) {
  if
  :: dead[g] -> verdict = SILENT
  :: !dead[g] && holder[g] != 0 && holder[g] != 1 + a -> verdict = TAKEN
  :: !dead[g] && (holder[g] == 0 || holder[g] == 1 + a) ->
     holder[g] = 1 + a;
     verdict = (fresh[g] -> FRESH : GRANTED)
  fi
}

/* KeySettled with NotRun releases the key; any other outcome keeps it. */
inline free(a) {
  if
  :: holder[0] == 1 + a -> holder[0] = 0
  :: else -> skip
  fi;
  if
  :: holder[1] == 1 + a -> holder[1] = 0
  :: else -> skip
  fi
}

inline end(a, how) {
  ended[a] = how;
  assert(how != TOLD_NOT_RUN || (!ran[a] && !sent[a]))
}

/* A request in transit reaches the backend server. */
inline arrive(a) {
  sent[a] = false;
  ran[a] = true;
  runs++;
  assert(runs <= 1);
  assert(ended[a] != TOLD_NOT_RUN)
}

proctype Attempt(byte a) {
  byte one, two;
  bool retried = false;
#ifdef CLAIM_AFTER_DISPATCH
  atomic { sent[a] = true };
#endif
#ifndef NO_CLAIM
  atomic { claiming++; claim(0, a, one) };
  atomic { claim(1, a, two) };
  atomic {
    claiming--;
    diedDuring = diedDuring && claiming > 0;
    if
    :: one == TAKEN || two == TAKEN ->
       /* KeyInProgress, KeyAnswered or KeyUnknown: this attempt did not run,
        * but another one with the same key may, so the outcome is unknown. */
       if
       :: holder[0] == 1 + a && !fresh[0] -> holder[0] = 0
       :: holder[1] == 1 + a && !fresh[1] -> holder[1] = 0
       :: else -> skip
       fi;
       end(a, TOLD_UNKNOWN); goto done
#ifndef FRESH_GRANTS
    :: one != TAKEN && two != TAKEN && one != GRANTED && two != GRANTED ->
       /* No replica has been up long enough to know: KeyUnknown. */
       end(a, TOLD_UNKNOWN); goto done
    :: one != TAKEN && two != TAKEN && (one == GRANTED || two == GRANTED) -> skip
#else
    :: one != TAKEN && two != TAKEN && (one != SILENT || two != SILENT) -> skip
    :: one == SILENT && two == SILENT -> end(a, TOLD_UNKNOWN); goto done
#endif
    fi
  };
#endif
dispatch:
  atomic {
    if
    :: /* Connection refused: provably not run. Dispatched again, or reported. */
       !sent[a] ->
       if
       :: !retried ->
          retried = true;
#ifdef REACH_RETRY
          assert(false);
#endif
          goto dispatch
       :: free(a); end(a, TOLD_NOT_RUN); goto done
       fi
    :: /* The owner failed before it sent; the entry VM can't know. */
       end(a, TOLD_UNKNOWN); goto done
    :: sent[a] = true
    fi
  };
  if
  :: atomic { ran[a] ->
      /* A complete answer arrived. */
#ifdef REACH_ANSWERED
      assert(false);
#endif
      end(a, TOLD_ANSWERED) }
  :: atomic { true ->
      /* Connection lost, timeout, or the owner failed: no answer. */
#ifdef RETRY_AFTER_DISPATCH
      if
      :: !retried -> retried = true; goto dispatch
      :: else -> skip
      fi;
#endif
#ifdef FREE_UNKNOWN
      free(a);
#endif
#ifdef SAY_NOT_RUN
      ended[a] = TOLD_NOT_RUN
#else
      end(a, TOLD_UNKNOWN)
#endif
    }
  fi;
done:
  skip
}

proctype Server() {
  do
  :: atomic { sent[0] -> arrive(0) }
  :: atomic { sent[1] -> arrive(1) }
  :: atomic { sent[2] -> arrive(2) }
  od
}

#ifdef BOTH_DIE_DURING_CLAIM
#define mayDie true
#else
#define mayDie (!diedDuring)
#endif

/* A key replica fails; its VM or another one replaces it, with no stored keys. */
proctype Deaths() {
  byte g;
  do
  :: atomic {
      deathsLeft > 0 && mayDie -> deathsLeft--;
      diedDuring = (claiming > 0);
      select(g : 0 .. 1);
      dead[g] = true; holder[g] = 0; fresh[g] = false; g = 0 }
  :: atomic { dead[0] -> dead[0] = false; fresh[0] = true }
  :: atomic { dead[1] -> dead[1] = false; fresh[1] = true }
  od
}

init {
  atomic {
    run Attempt(0); run Attempt(1); run Attempt(2);
    run Server(); run Deaths()
  }
}
