/* Acceptance of a configuration revision: promise 8, "an accepted configuration
 * is in force everywhere and never reverts".
 *
 * Three registered daemons share one platform object, the head. One change, to
 * revision 1, is written by any of them. DECIDER judges it; VICTIM is the daemon
 * that might still admit under revision 0; HELPER is the third. The roles are
 * symmetric in the protocol, so only what the decider knows of the others and the
 * victim's own lease need be kept. Time goes in ticks: the admission lease is TERM
 * ticks, the fence FENCE. Each event is one atomic step, in any order. Names are
 * those of package revision: PlatformRead, Renew (platform, majority, accounted),
 * Note, Decide. At most FAULTS kills, restarts, cuts, heals and turns of the
 * platform happen.
 *
 * Mutants, each of which must be refuted:
 *   -DNO_FENCE         the quorum need not live on for the fence time
 *   -DMAY_DIE          the fence time is waited, but the quorum may die in it
 *   -DNO_QUORUM        the fence time alone is enough
 *   -DOLD_REFUSAL      a refusal from before the change counts as stopped
 *   -DACCOUNTED_STARTS "accounted for" may start a lease, not only extend one
 *   -DLEASE_FROM_NOW   a lease is counted from its renewal, not its evidence
 */
#define DECIDER 0
#define HELPER 1
#define VICTIM 2
#define TERM 2
#define FENCE 3
#define STALE TERM      /* an age that counts no more */
#ifndef FAULTS
#define FAULTS 4
#endif
#ifndef TICKS
#define TICKS 7
#endif

bit head, accepted, outage;
bit rev[3], alive[3], store[3];
bit link[3];            /* link[k]: the two daemons other than k reach each other */
byte faults, ticks;

/* the victim's lease and evidence */
byte lease;             /* ticks it still holds */
byte heardAge[2];       /* age of its last hearing of DECIDER, HELPER */
byte refusedAge[2];     /* age of its last refused connection */

/* what the decider knows */
bit acked[3];           /* this process has revision 1 */
byte ackAge[3];         /* ticks since that was noted, up to FENCE */
bit livedOn[3];         /* it was heard again a fence time later */
bit gone[3];            /* it refused a connection since the decider has revision 1 */

byte x, y, a;

#define LINK(p, q) link[3 - (p) - (q)]
#define MIN(p, q) ((p) < (q) -> (p) : (q))
#define MAX(p, q) ((p) > (q) -> (p) : (q))
#define SEEN(p) MIN(heardAge[p], refusedAge[p])

inline extend(age) {
#ifdef LEASE_FROM_NOW
  lease = TERM
#else
  if :: lease + age < TERM -> lease = TERM - age :: else -> skip fi
#endif
}

/* Renew, of the victim: a majority is itself and one more, not ahead */
inline renew() {
  a = MIN(heardAge[DECIDER], heardAge[HELPER]);
  if
  :: a < STALE -> extend(a)
  :: else ->
       a = MAX(SEEN(DECIDER), SEEN(HELPER));
#ifdef ACCOUNTED_STARTS
       if :: a < STALE -> extend(a) :: else -> skip fi
#else
       if :: a < STALE && lease > 0 -> extend(a) :: else -> skip fi
#endif
  fi
}

/* what a process does on having revision 1 */
inline learn(p) {
  if
  :: !rev[p] ->
       rev[p] = 1;
       if :: p == DECIDER -> acked[p] = 1; ackAge[p] = 0 :: else -> skip fi
  :: else -> skip
  fi
}

inline platformRead(p) {
  if :: head -> learn(p) :: else -> skip fi;
  if :: p == VICTIM -> lease = TERM :: else -> skip fi
}

/* p asks q */
inline sync(p, q) {
  if
  :: alive[q] && LINK(p, q) ->
       if :: rev[q] -> learn(p) :: else -> skip fi;
       if :: p == VICTIM -> heardAge[q] = 0 :: else -> skip fi;
       if
       :: p == DECIDER && rev[p] && rev[q] && !acked[q] -> acked[q] = 1; ackAge[q] = 0
       :: p == DECIDER && acked[q] && ackAge[q] == FENCE -> livedOn[q] = 1
       :: else -> skip
       fi
  :: !alive[q] ->
       if :: p == VICTIM -> refusedAge[q] = 0 :: else -> skip fi;
#ifdef OLD_REFUSAL
       if :: p == DECIDER -> gone[q] = 1 :: else -> skip fi
#else
       if :: p == DECIDER && rev[p] -> gone[q] = 1 :: else -> skip fi
#endif
  :: else -> skip
  fi;
  if :: p == VICTIM -> renew() :: else -> skip fi
}

#ifdef NO_QUORUM
#define QUORUM true
#else
#ifdef NO_FENCE
#define QUORUM (acked[HELPER] || acked[VICTIM])
#else
#ifdef MAY_DIE
#define QUORUM (acked[HELPER] && ackAge[HELPER] == FENCE || acked[VICTIM] && ackAge[VICTIM] == FENCE)
#else
#define QUORUM (livedOn[HELPER] || livedOn[VICTIM])
#endif
#endif
#endif
#define ACCOUNTED ((acked[HELPER] || gone[HELPER]) && (acked[VICTIM] || gone[VICTIM]))
#ifdef NO_FENCE
#define DECIDE (rev[DECIDER] && (ACCOUNTED || QUORUM))
#else
#define DECIDE (rev[DECIDER] && (ACCOUNTED || ackAge[DECIDER] == FENCE && QUORUM))
#endif

inline older(age) { if :: age < STALE -> age++ :: else -> skip fi }

inline tick() {
  older(heardAge[0]); older(heardAge[1]); older(refusedAge[0]); older(refusedAge[1]);
  a = 0;
  do
  :: a < 3 -> if :: acked[a] && ackAge[a] < FENCE -> ackAge[a]++ :: else -> skip fi; a++
  :: else -> break
  od;
  if :: lease > 0 -> lease-- :: else -> skip fi;
  ticks++
}

inline kill(p) {
  alive[p] = 0;
  if
  :: p == VICTIM -> lease = 0
  :: p == DECIDER ->           /* what it knew dies with it */
       a = 0;
       do
       :: a < 3 -> acked[a] = 0; ackAge[a] = 0; livedOn[a] = 0; gone[a] = 0; a++
       :: else -> break
       od
  :: else -> skip
  fi;
  rev[p] = 0
}

/* a new process joins by a conditional update of the head, so it has the current
 * one; what was known of the old process does not count for it */
inline restart(p) {
  alive[p] = 1; rev[p] = 0;
  if
  :: p == VICTIM -> heardAge[0] = STALE; heardAge[1] = STALE; refusedAge[0] = STALE; refusedAge[1] = STALE
  :: else -> skip
  fi;
  acked[p] = 0; ackAge[p] = 0; livedOn[p] = 0;
  platformRead(p)
}

init {
  atomic {
    heardAge[0] = STALE; heardAge[1] = STALE; refusedAge[0] = STALE; refusedAge[1] = STALE;
    a = 0;
    do
    :: a < 3 -> alive[a] = 1; store[a] = 1; link[a] = 1; a++
    :: else -> break
    od;
    lease = TERM
  }
  do
  :: atomic {
       select(x : 0 .. 2);
       if
       :: alive[x] && store[x] && !outage && !head -> head = 1; platformRead(x)
       :: alive[x] && store[x] && !outage -> platformRead(x)
       :: alive[x] -> y = (x + 1) % 3; sync(x, y)
       :: alive[x] -> y = (x + 2) % 3; sync(x, y)
       :: DECIDE -> accepted = 1
       :: ticks < TICKS -> tick()
       :: faults < FAULTS && alive[x] -> kill(x); faults++
       :: faults < FAULTS && !alive[x] && store[x] && !outage -> restart(x); faults++
       :: faults < FAULTS -> store[x] = !store[x]; faults++
       :: faults < FAULTS -> link[x] = !link[x]; faults++
       :: faults < FAULTS -> outage = !outage; faults++
       fi;
       x = 0; y = 0; a = 0;
       assert(!(accepted && alive[VICTIM] && lease > 0 && !rev[VICTIM]))
     }
  od
}
