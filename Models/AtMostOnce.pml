/* A request that may run once, repeated by its caller; see
 * docs/design/models.md.
 *
 * defects: NO_CLAIM RETRY_AFTER_DISPATCH CLAIM_AFTER_DISPATCH FRESH_GRANTS FREE_UNKNOWN SAY_NOT_RUN
 * limits: BOTH_DIE_DURING_CLAIM
 * reached: REACH_ANSWERED REACH_RETRY
 *
 * The caller sends the same idempotency key up to three times, each time at
 * another daemon and before the one before has ended. Two key replicas remember
 * keys; both may die and come back with empty memory (Fresh), but not both while
 * one claim is under way (docs/UNPROVED.md). Owners may die
 * at any step, answers may get lost, a backend server may refuse a connection
 * (provably not run). Promises: the server runs the key at most once, and an
 * attempt that was told "not run" never runs.
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

byte holder[2];  /* 1 + attempt that holds the key at a replica; 0 nobody */
bool fresh[2];   /* it has not been up for as long as keys are remembered */
bool dead[2];
byte deathsLeft = 2;
byte claiming = 0;       /* attempts between their first claim and its verdict */
bool diedDuring = false; /* a key replica died since claiming was last 0 */
byte runs = 0;
byte ended[ATTEMPTS];
bool ran[ATTEMPTS];
bool sent[ATTEMPTS]; /* it is on its way to the server, and may arrive late */

/* The key replica notes the attempt before it answers. */
inline claim(g, a, verdict) {
  if
  :: dead[g] -> verdict = SILENT
  :: !dead[g] && holder[g] != 0 && holder[g] != 1 + a -> verdict = TAKEN
  :: !dead[g] && (holder[g] == 0 || holder[g] == 1 + a) ->
     holder[g] = 1 + a;
     verdict = (fresh[g] -> FRESH : GRANTED)
  fi
}

/* KeySettled with NotRun frees the key; any other ending keeps it. */
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

/* The backend server gets what is on its way. */
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
        * but another one of the key may, so the caller is told unknown. */
       if
       :: holder[0] == 1 + a && !fresh[0] -> holder[0] = 0
       :: holder[1] == 1 + a && !fresh[1] -> holder[1] = 0
       :: else -> skip
       fi;
       end(a, TOLD_UNKNOWN); goto done
#ifndef FRESH_GRANTS
    :: one != TAKEN && two != TAKEN && one != GRANTED && two != GRANTED ->
       /* Nobody who would remember: KeyUnknown. */
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
    :: /* Connection refused: provably not run. Placed once more, or told. */
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
    :: /* The owner died before it sent; the entry can't know. */
       end(a, TOLD_UNKNOWN); goto done
    :: sent[a] = true
    fi
  };
  if
  :: atomic { ran[a] ->
      /* Answered whole. */
#ifdef REACH_ANSWERED
      assert(false);
#endif
      end(a, TOLD_ANSWERED) }
  :: atomic { true ->
      /* Connection broken, timed out, or the owner died: no answer. */
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

/* A key replica dies; its VM or another one takes its place with no memory. */
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
